import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {defineEntryController, isIsolated} from '@gentianshunt/entryModel';
import type {
  EndpointHealth,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  RequestState,
  StreamEnd,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import {decayFailureRate, learnFailureRate} from '@gentianshunt/policy';

/**
 * How long an endpoint may send nothing after a dispatch. If the caller leaves
 * or its time limit passes after that, the endpoint has failed.
 */
export const UNRESPONSIVE_MS: Milliseconds = 1_500;

type HealthReads = 'requests' | 'dispatches' | 'endpointHealth' | 'reach';
type HealthView = View<EntrySections, HealthReads, EntryObservation>;
type HealthWrite = EntryWrite<'endpointHealth'>;

/** What the end of a dispatch shows about its endpoint. */
type Evidence = 'sound' | 'failed' | 'unreachable' | 'nothing';

/**
 * Creates the controller that learns which endpoints fail. It runs before the
 * controller that removes ended requests from the board.
 */
export function createHealthController(): EntryController {
  return defineEntryController<HealthReads, 'endpointHealth'>({
    name: 'health',
    reads: ['requests', 'dispatches', 'endpointHealth', 'reach'],
    writes: ['endpointHealth'],
    observes: ['streamEnded', 'callerGone', 'timeLimitReached'],
    run: (view, now) => {
      const {observation, board} = view;
      if (isIsolated(board.reach)) {
        return dropAll(view);
      }
      switch (observation?.kind) {
        case 'streamEnded': {
          const id = board.dispatches.get(observation.dispatch);
          const state = id === undefined ? undefined : board.requests.get(id);
          return recordEvidence(
            view,
            state,
            readEndEvidence(observation.end),
            now,
          );
        }
        case 'callerGone':
        case 'timeLimitReached': {
          const state = board.requests.get(observation.request);
          return recordEvidence(
            view,
            state,
            readSilenceEvidence(state, now),
            now,
          );
        }
        default:
          return [];
      }
    },
  });
}

/** What an isolated entry has seen fail was its own connection. */
function dropAll({board}: HealthView): readonly HealthWrite[] {
  return [...board.endpointHealth.keys()].map(key => ({
    kind: 'delete',
    section: 'endpointHealth',
    key,
  }));
}

function readEndEvidence(end: StreamEnd): Evidence {
  switch (end.kind) {
    case 'complete':
      return 'sound';
    case 'notSent':
      return 'unreachable';
    case 'withheld':
      return 'nothing';
    case 'rejected':
    case 'notExecuted':
    case 'failed':
    case 'cut':
      return 'failed';
    default:
      return assertNever(end, 'readEndEvidence');
  }
}

/** An endpoint that has sent nothing for `UNRESPONSIVE_MS` has failed. */
function readSilenceEvidence(
  state: RequestState | undefined,
  now: TurnTime,
): Evidence {
  const isUnresponsive =
    state?.kind === 'dispatched' &&
    now.monotonic - state.dispatch.at >= UNRESPONSIVE_MS;
  return isUnresponsive ? 'failed' : 'nothing';
}

function recordEvidence(
  view: HealthView,
  state: RequestState | undefined,
  evidence: Evidence,
  now: TurnTime,
): readonly HealthWrite[] {
  const isDispatched =
    state?.kind === 'dispatched' || state?.kind === 'answering';
  if (!isDispatched || evidence === 'nothing') {
    return [];
  }
  const {endpoint} = state.dispatch.target;
  const known = view.board.endpointHealth.get(endpoint);
  if (known === undefined && evidence === 'sound') {
    return [];
  }
  const at = now.monotonic;
  const failureRate = known
    ? decayFailureRate(known.failureRate, at - known.observedAt)
    : 0;
  const value: EndpointHealth = {
    set: state.request.set,
    endpoint,
    failureRate: learnFailureRate(failureRate, evidence !== 'sound'),
    observedAt: at,
    unreachableAt:
      evidence === 'unreachable'
        ? at
        : evidence === 'sound'
          ? Number.NEGATIVE_INFINITY
          : (known?.unreachableAt ?? Number.NEGATIVE_INFINITY),
  };
  return [{kind: 'put', section: 'endpointHealth', key: endpoint, value}];
}
