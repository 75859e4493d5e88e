import type {TurnTime, View} from '@gentianshunt/board';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  Dispatch,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';
import type {DispatchId} from '@gentianshunt/identifiers';
import {learnRate} from '@gentianshunt/policy';

type RateReads = 'requests' | 'dispatches' | 'streamProgress' | 'decodeRates';
type RateWrites = 'streamProgress' | 'decodeRates';
type RateView = View<EntrySections, RateReads, EntryObservation>;
type RateWrite = EntryWrite<RateWrites>;

/**
 * Creates the controller that learns how fast endpoints decode. It measures
 * running streams, which show a slowdown long before they end.
 */
export function createRateController(): EntryController {
  return defineEntryController<RateReads, RateWrites>({
    name: 'rates',
    reads: ['requests', 'dispatches', 'streamProgress', 'decodeRates'],
    writes: ['streamProgress', 'decodeRates'],
    observes: ['tokensStreamed'],
    run: (view, now) => {
      const {observation, board} = view;
      if (observation?.kind === 'tokensStreamed') {
        return learnProgress(
          view,
          observation.dispatch,
          observation.answerTokens,
          now,
        );
      }
      return [...view.readChanges('dispatches')]
        .map(key => key as DispatchId)
        .filter(
          key => !board.dispatches.has(key) && board.streamProgress.has(key),
        )
        .map(key => ({kind: 'delete', section: 'streamProgress', key}));
    },
  });
}

function learnProgress(
  view: RateView,
  key: DispatchId,
  answerTokens: number,
  now: TurnTime,
): readonly RateWrite[] {
  const dispatch = findDispatch(view, key);
  if (dispatch === undefined) {
    return [];
  }
  const at = now.monotonic;
  const before = view.board.streamProgress.get(key);
  const progressWrite: RateWrite = {
    kind: 'put',
    section: 'streamProgress',
    key,
    value: {answerTokens, at},
  };
  if (before === undefined || at <= before.at) {
    return [progressWrite];
  }
  // A stream without new tokens counts as one token in the elapsed time.
  const tokens = Math.max(1, answerTokens - before.answerTokens);
  const {endpoint} = dispatch.target;
  const known = view.board.decodeRates.get(endpoint);
  return [
    progressWrite,
    {
      kind: 'put',
      section: 'decodeRates',
      key: endpoint,
      value: {
        set: findSet(view, key)!,
        endpoint,
        decodeMsPerToken: learnRate(
          known?.decodeMsPerToken,
          (at - before.at) / tokens,
        ),
        observedAt: at,
      },
    },
  ];
}

function findDispatch(view: RateView, key: DispatchId): Dispatch | undefined {
  const request = view.board.dispatches.get(key);
  const state =
    request === undefined ? undefined : view.board.requests.get(request);
  return state?.kind === 'answering' ? state.dispatch : undefined;
}

function findSet(view: RateView, key: DispatchId) {
  const request = view.board.dispatches.get(key);
  return request === undefined
    ? undefined
    : view.board.requests.get(request)?.request.set;
}
