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
    run: (view, now) => handleObservation(view, now),
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
      const value = {correlation, query, receivedAt: now.monotonic};
      return [
        {kind: 'put', section: 'queries', key: correlation, value},
        ...sendQuery(view, value),
      ];
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
      return observation.timer.kind === 'housekeeping'
        ? resendQueries(view, now)
        : [];
    default:
      return [];
  }
}

function removeQuery(key: RequestId): QueryWrite {
  return {kind: 'delete', section: 'queries', key};
}

function sendQuery(view: QueryView, pending: PendingQuery): QueryWrite[] {
  const {leader} = view.board.control;
  if (leader === null) {
    return [];
  }
  const {correlation, query} = pending;
  return [
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
      : sendQuery(view, pending),
  );
}
