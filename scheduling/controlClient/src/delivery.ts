// When a request is sent to the leading control daemon again.
import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  computeResendDelayMs,
  estimateTransferMs,
} from '@gentianshunt/entryModel';
import type {
  ControlStatus,
  EntryObservation,
  EntrySections,
  RequestDelivery,
} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';
import type {ControlQuery} from '@gentianshunt/messages';

/** When the same daemon gets a request again. */
export interface ResendOptions {
  /** Time from the first sending to the second; it doubles from then on. */
  readonly firstResendMs: Milliseconds;
  /** Most sendings to the same daemon. */
  readonly maxAttempts: number;
}

/** Shortest time to the second sending of a batch of commands. */
const MIN_COMMAND_RESEND_MS: Milliseconds = 1_000;
/**
 * Shortest time to the second sending of a document, without the time that it takes.
 * Its operator waits for a second, so the reply to the second one is still in time.
 */
const MIN_DOCUMENT_RESEND_MS: Milliseconds = 500;
/** Shortest time to the second sending of a read. */
const MIN_READ_RESEND_MS: Milliseconds = 300;
const MAX_READ_ATTEMPTS = 2;
/** Age from which on nobody waits for a read of the configuration. */
const MAX_SOURCE_AGE_MS: Milliseconds = 1_000;
/** Factor by which the time grows with each sending. */
const BACKOFF_FACTOR = 2;

/** Plans when a batch of commands is sent again. */
export function planCommandResend(control: ControlStatus): ResendOptions {
  return planRequestResend(control, MIN_COMMAND_RESEND_MS);
}

/** Plans when a document is sent again. */
export function planDocumentResend(
  control: ControlStatus,
  document: Uint8Array,
): ResendOptions {
  const transferMs = estimateTransferMs(document);
  return planRequestResend(control, MIN_DOCUMENT_RESEND_MS + transferMs);
}

function planRequestResend(
  control: ControlStatus,
  minDelayMs: Milliseconds,
): ResendOptions {
  return {
    firstResendMs: computeResendDelayMs(control, minDelayMs),
    maxAttempts: Number.POSITIVE_INFINITY,
  };
}

/**
 * Plans when a read is sent again. Its operator waits for less than a second, but
 * a reply that is on its way need not be asked for again.
 */
export function planReadResend(
  control: ControlStatus,
  {kind}: ControlQuery,
): ResendOptions {
  const firstResendMs = computeResendDelayMs(control, MIN_READ_RESEND_MS);
  const isTooLate = kind === 'source' && firstResendMs >= MAX_SOURCE_AGE_MS;
  return {firstResendMs, maxAttempts: isTooLate ? 1 : MAX_READ_ATTEMPTS};
}

/**
 * Returns whether a request is to be sent to a daemon: at once if it went to
 * another one before, otherwise after a backoff.
 */
export function isSendingDue(
  delivery: RequestDelivery | null,
  to: NodeId,
  now: TurnTime,
  {firstResendMs, maxAttempts}: ResendOptions,
): boolean {
  if (delivery === null || delivery.to !== to) {
    return true;
  }
  const waitMs = firstResendMs * BACKOFF_FACTOR ** (delivery.attempts - 1);
  const hasWaited = now.monotonic - delivery.sentAt >= waitMs;
  return hasWaited && delivery.attempts < maxAttempts;
}

/** A request of an operator that the leading control daemon has not answered. */
interface PendingRequest {
  readonly delivery: RequestDelivery | null;
}

/**
 * Lists the requests that the leading control daemon has not got, when the entry
 * has just learnt which one leads. The others are sent again at intervals.
 */
export function listUnsent<Pending extends PendingRequest>(
  view: View<EntrySections, 'control', EntryObservation>,
  pending: Iterable<Pending>,
): readonly Pending[] {
  const {leader} = view.board.control;
  const isNews = view.readChanges('control').size > 0 && !isTick(view);
  return leader === null || !isNews
    ? []
    : [...pending].filter(({delivery}) => delivery?.to !== leader);
}

/** Returns whether the requests that were sent before are to be checked. */
export function isTick({
  observation,
}: Pick<
  View<EntrySections, 'control', EntryObservation>,
  'observation'
>): boolean {
  return (
    observation?.kind === 'timerDue' &&
    observation.timer.kind === 'housekeeping'
  );
}

/** Records that a request is sent to a daemon. */
export function recordDelivery(
  delivery: RequestDelivery | null,
  to: NodeId,
  now: TurnTime,
): RequestDelivery {
  const earlier = delivery?.to === to ? delivery.attempts : 0;
  return {to, sentAt: now.monotonic, attempts: earlier + 1};
}
