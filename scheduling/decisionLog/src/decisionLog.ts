/**
 * Logs what the other controllers of an entry decided and learnt, by comparing
 * the board with what was logged last.
 */
import type {TurnTime, View} from '@gentianshunt/board';
import type {ObjectKey} from '@gentianshunt/configuration';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  EndpointKey,
  EntryController,
  EntryDecision,
  EntryObservation,
  EntrySections,
  EntryWrite,
  LoggedState,
  RequestState,
} from '@gentianshunt/entryModel';
import type {EndpointSetId, RequestId} from '@gentianshunt/identifiers';

import {listLeaveDecisions} from './leaveDecisions.js';
import {
  isStatusSame,
  listStatusDecisions,
  readEntryStatus,
} from './statusDecisions.js';

type LogReads =
  | 'requests'
  | 'control'
  | 'configuration'
  | 'endpoints'
  | 'knownEndpoints'
  | 'service'
  | 'withdrawnEndpoints'
  | 'loggedState';
type LogView = View<EntrySections, LogReads, EntryObservation>;
type LogWrite = EntryWrite<'loggedState'>;

/** Creates the controller that logs the decisions of the other controllers. */
export function createDecisionLogController(): EntryController {
  return defineEntryController<LogReads, 'loggedState'>({
    name: 'decisionLog',
    reads: [
      'requests',
      'control',
      'configuration',
      'endpoints',
      'knownEndpoints',
      'service',
      'withdrawnEndpoints',
      'loggedState',
    ],
    writes: ['loggedState'],
    observes: ['timerDue'],
    run: (view, now) => {
      const before = view.board.loggedState;
      const after = readEntryStatus(view, before, now);
      const decisions = [
        ...listRequestDecisions(view, now),
        ...listStatusDecisions(view, before, after, now),
        ...listEndpointDecisions(view, before, now),
        ...listLearntDecisions(view),
        ...listLeaveDecisions(view, now),
      ];
      const logged = {...after, endpoints: readEndpointStates(view, before)};
      return [
        ...decisions.map((decision): LogWrite => ({
          kind: 'effect',
          effect: {kind: 'logDecision', decision},
        })),
        ...(isSame(before, logged)
          ? []
          : [{kind: 'set', section: 'loggedState', value: logged} as const]),
      ];
    },
  });
}

function isSame(left: LoggedState, right: LoggedState): boolean {
  return isStatusSame(left, right) && left.endpoints === right.endpoints;
}

/** Lists dispatches and requeues among the requests that changed. */
function listRequestDecisions(
  view: LogView,
  now: TurnTime,
): readonly EntryDecision[] {
  return [...view.readChanges('requests')].flatMap(key => {
    const state = view.board.requests.get(key as RequestId);
    return state === undefined ? [] : listStateDecisions(view, state, now);
  });
}

function listStateDecisions(
  {board}: LogView,
  state: RequestState,
  now: TurnTime,
): readonly EntryDecision[] {
  const {request} = state;
  const {id, set, organisation, rank, tried = []} = request;
  const waitedMs = now.monotonic - request.arrivedAt;
  switch (state.kind) {
    case 'dispatched': {
      const {dispatch} = state;
      // The dispatch was logged when the request entered this state.
      return dispatch.at < now.monotonic
        ? []
        : [
            {
              kind: 'requestDispatched',
              request: id,
              set,
              organisation,
              rank,
              endpoint: dispatch.target.endpoint,
              grant: dispatch.grant,
              attempt: tried.length + 1,
              waitedMs,
              stateAgeMs: now.monotonic - dispatch.stateAt,
              isRepeatable: dispatch.isRetryable === true,
              configurationVersion: board.control.version,
            },
          ];
    }
    case 'waiting':
    case 'repeating': {
      const endpoint = tried[tried.length - 1];
      const mayHaveRun = state.kind === 'repeating';
      return endpoint === undefined || request.isDeprioritised === true
        ? []
        : [
            {
              kind: 'requestRequeued',
              request: id,
              set,
              endpoint,
              attempts: tried.length,
              mayHaveRun,
              waitedMs,
            },
          ];
    }
    case 'awaitingTest':
    case 'awaitingOrigin':
    case 'awaitingAllotment':
    case 'claiming':
    case 'awaitingOutcome':
    case 'answering':
    case 'relayed':
      return [];
  }
}

/** Reads the endpoint states that count as logged after this run. */
function readEndpointStates(
  view: LogView,
  before: LoggedState,
): LoggedState['endpoints'] {
  const changed = view.readChanges('endpoints');
  if (changed.size === 0) {
    return before.endpoints;
  }
  const states = new Map(before.endpoints);
  for (const changedKey of changed) {
    const key = changedKey as EndpointKey;
    const record = view.board.endpoints.get(key);
    if (record === undefined) {
      states.delete(key.endpoint);
    } else {
      states.set(key.endpoint, record.state);
    }
  }
  return states;
}

/** Lists endpoints whose state changed; other heartbeats are not logged. */
function listEndpointDecisions(
  view: LogView,
  before: LoggedState,
  now: TurnTime,
): readonly EntryDecision[] {
  return [...view.readChanges('endpoints')].flatMap(changedKey => {
    const {set, endpoint} = changedKey as EndpointKey;
    const record = view.board.endpoints.get({set, endpoint});
    const state = record?.state ?? 'forgotten';
    const loggedState = before.endpoints.get(endpoint) ?? 'forgotten';
    return loggedState === state
      ? []
      : [
          {
            kind: 'endpointChanged',
            set,
            endpoint,
            state,
            sequence: record?.announcement.order?.sequence ?? null,
            silentMs: record ? now.monotonic - record.seenAt : 0,
          },
        ];
  });
}

/** Lists changed set leaders, and endpoint lists received from them. */
function listLearntDecisions(view: LogView): readonly EntryDecision[] {
  const leaders = [...view.readChanges('configuration')].flatMap(
    (key): readonly EntryDecision[] => {
      const object = view.board.configuration.get(key as ObjectKey);
      return object?.kind === 'setLeadership'
        ? [
            {
              kind: 'setLeaderChanged',
              set: object.id,
              node: object.node,
              epoch: object.epoch,
            },
          ]
        : [];
    },
  );
  const lists = [...view.readChanges('knownEndpoints')].flatMap(
    (key): readonly EntryDecision[] => {
      const list = view.board.knownEndpoints.get(key as EndpointSetId);
      return list === undefined
        ? []
        : [
            {
              kind: 'endpointsLearnt',
              set: list.set,
              epoch: list.epoch,
              digest: list.digest,
              count: list.endpoints.length,
            },
          ];
    },
  );
  return [...leaders, ...lists];
}
