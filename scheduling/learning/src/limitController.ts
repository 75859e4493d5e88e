import type {TurnTime, View} from '@gentianshunt/board';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  EndpointSignals,
  EntryController,
  EntryDecision,
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';
import type {DispatchId} from '@gentianshunt/identifiers';

type LimitReads = 'requests' | 'dispatches' | 'namedLimits';
type LimitView = View<EntrySections, LimitReads, EntryObservation>;
type LimitWrite = EntryWrite<'namedLimits'>;

/** Creates the controller that records the limits that endpoints name. */
export function createLimitController(): EntryController {
  return defineEntryController<LimitReads, 'namedLimits'>({
    name: 'limits',
    reads: ['requests', 'dispatches', 'namedLimits'],
    writes: ['namedLimits'],
    observes: ['endpointSignalled'],
    run: (view, now) => {
      const {observation} = view;
      return observation?.kind === 'endpointSignalled'
        ? recordLimit(view, observation.dispatch, observation.signals, now)
        : [];
    },
  });
}

function recordLimit(
  {board}: LimitView,
  dispatch: DispatchId,
  {limitPerSecond: perSecond}: EndpointSignals,
  now: TurnTime,
): readonly LimitWrite[] {
  const request = board.dispatches.get(dispatch);
  const state = request === undefined ? undefined : board.requests.get(request);
  if (state?.kind !== 'dispatched' && state?.kind !== 'answering') {
    return [];
  }
  const {set} = state.request;
  const {endpoint} = state.dispatch.target;
  const known = board.namedLimits.get(endpoint);
  const before = known?.perSecond ?? null;
  const reportedAt = known?.reportedAt ?? Number.NEGATIVE_INFINITY;
  const decision: EntryDecision = {
    kind: 'endpointLimitNamed',
    set,
    endpoint,
    perSecond,
    before,
  };
  return [
    {
      kind: 'put',
      section: 'namedLimits',
      key: endpoint,
      value: {set, perSecond, namedAt: now.monotonic, reportedAt},
    },
    ...(perSecond === before
      ? []
      : [{kind: 'effect', effect: {kind: 'logDecision', decision}} as const]),
  ];
}
