import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {defineEntryController} from '@gentianshunt/entryModel';
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
import {ageTrouble, learnFailure} from '@gentianshunt/policy';

/** A caller that leaves after this time without a byte shows a failure. */
export const MUTE_MS: Milliseconds = 1_500;

type HealthReads = 'requests' | 'dispatches' | 'endpointHealth';
type HealthView = View<EntrySections, HealthReads, EntryObservation>;
type HealthWrite = EntryWrite<'endpointHealth'>;

/** What a dispatch showed of its endpoint. */
type Finding = 'sound' | 'failed' | 'unreachable' | 'nothing';

/**
 * Creates the controller that learns which endpoints fail. It runs before the
 * controller that removes ended requests from the board.
 */
export function createHealthController(): EntryController {
  return defineEntryController<HealthReads, 'endpointHealth'>({
    name: 'health',
    reads: ['requests', 'dispatches', 'endpointHealth'],
    writes: ['endpointHealth'],
    observes: ['streamEnded', 'callerGone', 'timeLimitReached'],
    run: (view, now) => {
      const {observation, board} = view;
      switch (observation?.kind) {
        case 'streamEnded': {
          const id = board.dispatches.get(observation.dispatch);
          const state = id === undefined ? undefined : board.requests.get(id);
          return learn(view, state, readFinding(observation.end), now);
        }
        case 'callerGone':
        case 'timeLimitReached': {
          const state = board.requests.get(observation.request);
          return learn(view, state, readSilence(state, now), now);
        }
        default:
          return [];
      }
    },
  });
}

function readFinding(end: StreamEnd): Finding {
  switch (end.kind) {
    case 'complete':
      return 'sound';
    case 'notSent':
      return 'unreachable';
    case 'rejected':
    case 'notExecuted':
    case 'failed':
    case 'cut':
      return 'failed';
    default:
      return assertNever(end, 'readFinding');
  }
}

/** An endpoint that had the request for long and sent nothing is mute. */
function readSilence(state: RequestState | undefined, now: TurnTime): Finding {
  const isMute =
    state?.kind === 'dispatched' &&
    now.monotonic - state.dispatch.at >= MUTE_MS;
  return isMute ? 'failed' : 'nothing';
}

function learn(
  view: HealthView,
  state: RequestState | undefined,
  finding: Finding,
  now: TurnTime,
): readonly HealthWrite[] {
  const isDispatched =
    state?.kind === 'dispatched' || state?.kind === 'answering';
  if (!isDispatched || finding === 'nothing') {
    return [];
  }
  const {endpoint} = state.dispatch.target;
  const known = view.board.endpointHealth.get(endpoint);
  if (known === undefined && finding === 'sound') {
    return [];
  }
  const at = now.monotonic;
  const share = known
    ? ageTrouble(known.failureShare, at - known.observedAt)
    : 0;
  const value: EndpointHealth = {
    set: state.request.set,
    endpoint,
    failureShare: learnFailure(share, finding !== 'sound'),
    observedAt: at,
    unreachableAt:
      finding === 'unreachable'
        ? at
        : finding === 'sound'
          ? Number.NEGATIVE_INFINITY
          : (known?.unreachableAt ?? Number.NEGATIVE_INFINITY),
  };
  return [{kind: 'put', section: 'endpointHealth', key: endpoint, value}];
}
