/** Logs the leaves that an entry learns of, and what it has sent there. */
import type {TurnTime, View} from '@gentianshunt/board';
import type {MonotonicTime} from '@gentianshunt/clock';
import type {
  EntryDecision,
  EntryObservation,
  EntrySections,
  RequestState,
} from '@gentianshunt/entryModel';
import type {EndpointId} from '@gentianshunt/identifiers';

type LeaveView = View<
  EntrySections,
  'requests' | 'withdrawnEndpoints',
  EntryObservation
>;

/** Requests of an entry at one endpoint. */
interface OpenRequests {
  readonly count: number;
  readonly lastDispatchAt: MonotonicTime;
}

/** Lists the endpoints that the entry learnt to have left. */
export function listLeaveDecisions(
  view: LeaveView,
  now: TurnTime,
): readonly EntryDecision[] {
  const changed = view.readChanges(
    'withdrawnEndpoints',
  ) as ReadonlySet<EndpointId>;
  if (changed.size === 0) {
    return [];
  }
  const open = countOpenRequests(view.board.requests, changed);
  return [...changed].flatMap((endpoint): readonly EntryDecision[] => {
    const known = view.board.withdrawnEndpoints.get(endpoint);
    if (known === undefined) {
      return [];
    }
    const {source, learntFrom, until} = known;
    const requests = open.get(endpoint);
    return [
      {
        kind: 'endpointLeaveLearnt',
        endpoint,
        source,
        learntFrom,
        remainingMs: until - now.monotonic,
        openRequests: requests?.count ?? 0,
        sinceDispatchMs:
          requests === undefined
            ? null
            : now.monotonic - requests.lastDispatchAt,
      },
    ];
  });
}

function countOpenRequests(
  requests: LeaveView['board']['requests'],
  endpoints: ReadonlySet<EndpointId>,
): ReadonlyMap<EndpointId, OpenRequests> {
  const open = new Map<EndpointId, OpenRequests>();
  for (const state of requests.values()) {
    const dispatch = findDispatch(state);
    if (dispatch === undefined || !endpoints.has(dispatch.target.endpoint)) {
      continue;
    }
    const {endpoint} = dispatch.target;
    const known = open.get(endpoint);
    open.set(endpoint, {
      count: (known?.count ?? 0) + 1,
      lastDispatchAt: Math.max(known?.lastDispatchAt ?? 0, dispatch.at),
    });
  }
  return open;
}

function findDispatch(state: RequestState) {
  return state.kind === 'dispatched' || state.kind === 'answering'
    ? state.dispatch
    : undefined;
}
