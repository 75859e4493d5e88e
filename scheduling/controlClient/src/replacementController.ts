import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  defineEntryController,
  estimateTransferMs,
} from '@gentianshunt/entryModel';
import type {
  CommandProgress,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  PendingReplacement,
} from '@gentianshunt/entryModel';
import type {RequestId} from '@gentianshunt/identifiers';

import {
  isSendingDue,
  isTick,
  listUnsent,
  planDocumentResend,
  recordDelivery,
} from './delivery.js';

/**
 * Time after which an operator gets the answer `unanswered`, without the time that
 * the document takes.
 */
export const REPLACEMENT_TIMEOUT_MS: Milliseconds = 3_000;

type ReplacementReads = 'control' | 'replacements';
type ReplacementView = View<EntrySections, ReplacementReads, EntryObservation>;
type ReplacementWrite = EntryWrite<'replacements'>;

/**
 * Creates the controller that forwards whole configurations to the leading
 * control daemon.
 */
export function createReplacementController(): EntryController {
  return defineEntryController<ReplacementReads, 'replacements'>({
    name: 'replacements',
    reads: ['control', 'replacements'],
    writes: ['replacements'],
    observes: ['replacementReceived', 'controlMessage', 'timerDue'],
    run: (view, now) => [
      ...handleObservation(view, now),
      ...listUnsent(view, view.board.replacements.values()).flatMap(pending =>
        sendPending(view, pending, now),
      ),
    ],
  });
}

function handleObservation(
  view: ReplacementView,
  now: TurnTime,
): readonly ReplacementWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'replacementReceived': {
      const {correlation, replacement} = observation;
      const pending: PendingReplacement = {
        correlation,
        replacement,
        receivedAt: now.monotonic,
        delivery: null,
      };
      return [putPending(pending), ...sendPending(view, pending, now)];
    }
    case 'controlMessage': {
      const {message} = observation;
      return message.kind === 'replacementReply' &&
        view.board.replacements.has(message.correlation)
        ? completeReplacement(message.correlation, {
            kind: 'replaced',
            version: message.version,
          })
        : [];
    }
    case 'timerDue':
      return isTick(view) ? resendPending(view, now) : [];
    default:
      return [];
  }
}

function putPending(value: PendingReplacement): ReplacementWrite {
  const key = value.correlation;
  return {kind: 'put', section: 'replacements', key, value};
}

/**
 * Sends a replacement unless the leader got it a short time ago. Resending is
 * safe, as a version that is stored already changes nothing.
 */
function sendPending(
  view: ReplacementView,
  pending: PendingReplacement,
  now: TurnTime,
): readonly ReplacementWrite[] {
  const {control} = view.board;
  const {leader} = control;
  const {correlation, replacement, delivery} = pending;
  const resend = planDocumentResend(control, replacement.source);
  if (leader === null || !isSendingDue(delivery, leader, now, resend)) {
    return [];
  }
  const message = {
    kind: 'replacementRequest',
    correlation,
    replacement,
  } as const;
  const sent = recordDelivery(delivery, leader, now);
  const decision = {
    kind: 'changeForwarded',
    release: replacement.version,
    to: leader,
    attempt: sent.attempts,
    waitedMs: now.monotonic - pending.receivedAt,
  } as const;
  return [
    putPending({...pending, delivery: sent}),
    {kind: 'effect', effect: {kind: 'sendControl', to: leader, message}},
    {kind: 'effect', effect: {kind: 'logDecision', decision}},
  ];
}

function resendPending(
  view: ReplacementView,
  now: TurnTime,
): readonly ReplacementWrite[] {
  return [...view.board.replacements.values()].flatMap(pending =>
    now.monotonic - pending.receivedAt >=
    REPLACEMENT_TIMEOUT_MS + estimateTransferMs(pending.replacement.source)
      ? completeReplacement(pending.correlation, {kind: 'unanswered'})
      : sendPending(view, pending, now),
  );
}

function completeReplacement(
  correlation: RequestId,
  progress: CommandProgress,
): readonly ReplacementWrite[] {
  return [
    {kind: 'effect', effect: {kind: 'answerOperator', correlation, progress}},
    {kind: 'delete', section: 'replacements', key: correlation},
  ];
}
