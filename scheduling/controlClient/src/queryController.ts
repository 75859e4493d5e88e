import type {TurnTime, View} from '@gentianshunt/board';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  PendingQuery,
} from '@gentianshunt/entryModel';
import type {RequestId} from '@gentianshunt/identifiers';

import {COMMAND_TIMEOUT_MS} from './commandController.js';
import {
  isSendingDue,
  isTick,
  listUnsent,
  planReadResend,
  recordDelivery,
} from './delivery.js';

type QueryReads = 'control' | 'queries';
type QueryView = View<EntrySections, QueryReads, EntryObservation>;
type QueryWrite = EntryWrite<'queries'>;

/**
 * Creates the controller that forwards operators' queries to the leading
 * control daemon.
 */
export function createQueryController(): EntryController {
  return defineEntryController<QueryReads, 'queries'>({
    name: 'queries',
    reads: ['control', 'queries'],
    writes: ['queries'],
    observes: ['queryReceived', 'controlMessage', 'timerDue'],
    run: (view, now) => [
      ...handleObservation(view, now),
      ...listUnsent(view, view.board.queries.values()).flatMap(pending =>
        sendQuery(view, pending, now),
      ),
    ],
  });
}

function handleObservation(
  view: QueryView,
  now: TurnTime,
): readonly QueryWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'queryReceived': {
      const {correlation, query} = observation;
      const pending: PendingQuery = {
        correlation,
        query,
        receivedAt: now.monotonic,
        delivery: null,
      };
      return [putQuery(pending), ...sendQuery(view, pending, now)];
    }
    case 'controlMessage': {
      const {message} = observation;
      return message.kind === 'controlQueryReply' &&
        view.board.queries.has(message.correlation)
        ? [
            {
              kind: 'effect',
              effect: {
                kind: 'answerOperator',
                correlation: message.correlation,
                progress: {kind: 'queried', result: message.result},
              },
            },
            removeQuery(message.correlation),
          ]
        : [];
    }
    case 'timerDue':
      return isTick(view) ? resendQueries(view, now) : [];
    default:
      return [];
  }
}

function putQuery(value: PendingQuery): QueryWrite {
  return {kind: 'put', section: 'queries', key: value.correlation, value};
}

function removeQuery(key: RequestId): QueryWrite {
  return {kind: 'delete', section: 'queries', key};
}

/** Sends a query unless the leader got it a short time ago. */
function sendQuery(
  view: QueryView,
  pending: PendingQuery,
  now: TurnTime,
): readonly QueryWrite[] {
  const {control} = view.board;
  const {leader} = control;
  const {correlation, query, delivery} = pending;
  const resend = planReadResend(control, query);
  if (leader === null || !isSendingDue(delivery, leader, now, resend)) {
    return [];
  }
  return [
    putQuery({...pending, delivery: recordDelivery(delivery, leader, now)}),
    {
      kind: 'effect',
      effect: {
        kind: 'sendControl',
        to: leader,
        message: {kind: 'controlQueryRequest', correlation, query},
      },
    },
  ];
}

function resendQueries(view: QueryView, now: TurnTime): readonly QueryWrite[] {
  return [...view.board.queries.values()].flatMap(pending =>
    now.monotonic - pending.receivedAt > COMMAND_TIMEOUT_MS
      ? [
          {
            kind: 'effect',
            effect: {
              kind: 'answerOperator',
              correlation: pending.correlation,
              progress: {kind: 'unanswered'},
            },
          },
          removeQuery(pending.correlation),
        ]
      : sendQuery(view, pending, now),
  );
}
