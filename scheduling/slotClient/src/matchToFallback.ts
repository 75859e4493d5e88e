import type {TurnTime} from '@gentianshunt/board';
import {isLeaveKnowledgeCurrent, iterateQueues} from '@gentianshunt/entryModel';
import type {EndpointTarget} from '@gentianshunt/entryModel';
import type {EndpointSetId, GrantId} from '@gentianshunt/identifiers';
import {spendBucket} from '@gentianshunt/limits';

import {createCandidatePicker} from './candidatePicker.js';
import {listCandidates} from './dispatchOrder.js';
import {isLeaderSilent, listFallbackCapacity} from './fallbackCapacity.js';
import {UNGRANTED_LIFETIME_MS} from './slotView.js';
import type {SlotView, SlotWrite} from './slotView.js';
import {refillUngrantedUse} from './ungrantedUse.js';

/**
 * Matches requests to fallback capacity while a set leader is silent, if the
 * deployment allows it. Runs on timers only.
 */
export function matchToFallback(
  view: SlotView,
  now: TurnTime,
): readonly SlotWrite[] {
  const {leaderSilence} = view.board.identity;
  const usesFallback = leaderSilence?.kind === 'useFallbackCapacity';
  const isCurrent = isLeaveKnowledgeCurrent(view.board, now);
  if (view.observation?.kind !== 'timerDue' || !usesFallback || !isCurrent) {
    return [];
  }
  const sets = new Set<EndpointSetId>();
  for (const {key} of view.board.queues.iterateFrom()) {
    sets.add(key.set);
  }
  return [...sets]
    .filter(set => isLeaderSilent(view.board, set, now))
    .flatMap(set => matchSetToFallback(view, set, now));
}

function matchSetToFallback(
  view: SlotView,
  set: EndpointSetId,
  now: TurnTime,
): readonly SlotWrite[] {
  const capacity = listFallbackCapacity(view.board, set, now);
  const listedAt = view.board.knownEndpoints.get(set)?.receivedAt ?? 0;
  const waiting = Array.from(iterateQueues(view.board.queues, set), ({key}) =>
    listCandidates(view.board, key, now),
  ).flat();
  const picker = createCandidatePicker(waiting.map(({request}) => request));
  const matched = capacity.flatMap(({target}) => {
    const request = picker.take(target);
    return request === undefined ? [] : [{request, target}];
  });
  return [
    ...matched.map(({request, target}): SlotWrite => ({
      kind: 'put',
      section: 'matches',
      key: request.id,
      value: {
        grant: `${set}.local` as GrantId,
        target,
        stateAt: listedAt,
        deadline: now.monotonic + UNGRANTED_LIFETIME_MS,
      },
    })),
    ...spendUngrantedUse(
      view,
      matched.map(({target}) => target),
      now,
    ),
  ];
}

/** Counts requests that limited endpoints get without a grant. */
function spendUngrantedUse(
  view: SlotView,
  targets: readonly EndpointTarget[],
  now: TurnTime,
): readonly SlotWrite[] {
  const endpoints = new Set(targets.map(({endpoint}) => endpoint));
  return [...endpoints].flatMap((key): readonly SlotWrite[] => {
    const bucket = refillUngrantedUse(view.board, key, now);
    const count = targets.filter(({endpoint}) => endpoint === key).length;
    return bucket === undefined
      ? []
      : [
          {
            kind: 'put',
            section: 'ungrantedUse',
            key,
            value: spendBucket(bucket, count),
          },
        ];
  });
}
