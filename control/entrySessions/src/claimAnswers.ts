import type {BoardView, TurnTime} from '@gentianshunt/board';
import {formatClaimId} from '@gentianshunt/controlModel';
import type {ClaimRecord, ControlSections} from '@gentianshunt/controlModel';
import type {
  ClaimAnswer,
  ClaimOutcome,
  EntryToControl,
} from '@gentianshunt/messages';

/** Number of claims from which new ones are refused as `full`. */
export const MAX_ADMITTED_CLAIMS = 100_000;
/** Shortest delay before a refused claim is retried, in milliseconds. */
export const MIN_CLAIM_RETRY_MS = 1_000;

type ClaimRequest = Extract<EntryToControl, {readonly kind: 'claimRequest'}>;
type SettleRequest = Extract<EntryToControl, {readonly kind: 'settleRequest'}>;

/** The sections that hold the claims. */
export type ClaimBoard = Pick<
  BoardView<ControlSections>,
  'claims' | 'claimExpiry' | 'claimUsage'
>;

/**
 * Finds the answer to a claim request from the applied log. Returns `undefined`
 * if the claim has to be proposed to the log first.
 */
export function findClaimAnswer(
  board: ClaimBoard,
  request: ClaimRequest,
  now: TurnTime,
): ClaimAnswer | undefined {
  const record = board.claims.get(formatClaimId(request.key));
  if (record !== undefined) {
    return toClaimAnswer(request, record);
  }
  if (board.claimUsage.claims < MAX_ADMITTED_CLAIMS) {
    return undefined;
  }
  const expiresAtMs = board.claimExpiry.readFirst()?.key.expiresAtMs ?? 0;
  const retryAfterMs = Math.max(
    MIN_CLAIM_RETRY_MS,
    expiresAtMs - now.wall.getTime(),
  );
  return {kind: 'full', retryAfterMs};
}

function toClaimAnswer(
  request: ClaimRequest,
  record: ClaimRecord,
): ClaimAnswer {
  if (record.digest !== request.digest) {
    return {kind: 'digestMismatch'};
  }
  if (record.outcome !== null) {
    return {kind: 'settled', outcome: record.outcome};
  }
  return record.request === request.request
    ? {kind: 'granted'}
    : {kind: 'running', node: record.node};
}

/**
 * Returns whether the completion of a claim needs no log entry: its outcome is
 * already applied, or the claim no longer belongs to this request.
 */
export function isCompletionApplied(
  board: Pick<ClaimBoard, 'claims'>,
  request: SettleRequest,
): boolean {
  const record = board.claims.get(formatClaimId(request.key));
  if (record === undefined || record.request !== request.request) {
    return true;
  }
  const {outcome} = record;
  return (
    outcome !== null &&
    (outcome.kind !== 'unknown' || request.outcome.kind === 'unknown')
  );
}

/**
 * Removes the body of an answer that this leader has no room for. The outcome
 * is decided before it is in the log, so that all members store the same.
 */
export function limitOutcome(
  board: Pick<BoardView<ControlSections>, 'claimUsage' | 'identity'>,
  outcome: ClaimOutcome,
): ClaimOutcome {
  const {claimUsage, identity} = board;
  if (outcome.kind !== 'answered') {
    return outcome;
  }
  const total = claimUsage.answerBytes + outcome.body.byteLength;
  return total <= identity.logBounds.answerBytes
    ? outcome
    : {kind: 'answeredNotKept', status: outcome.status};
}
