import type {TurnTime, View} from '@gentianshunt/board';
import type {MonotonicTime} from '@gentianshunt/clock';
import {defineControlController} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlObservation,
  ControlSections,
  ControlWrite,
} from '@gentianshunt/controlModel';

import {MAX_ENTRY_LEASE_MS} from './leaderStatus.js';

type AppliedReleaseReads = 'applied' | 'source' | 'appliedReleases';
type AppliedReleaseView = View<
  ControlSections,
  AppliedReleaseReads,
  ControlObservation
>;
type AppliedReleaseWrite = ControlWrite<'appliedReleases'>;

/**
 * Creates the controller that records when releases were applied here. A leader
 * derives from it when the leases granted on an older release have ended.
 */
export function createAppliedReleaseController(): ControlController {
  return defineControlController<AppliedReleaseReads, 'appliedReleases'>({
    name: 'appliedReleases',
    reads: ['applied', 'source', 'appliedReleases'],
    writes: ['appliedReleases'],
    observes: [],
    run: (view, now) =>
      view.readChanges('source').size > 0 ? recordRelease(view, now) : [],
  });
}

function recordRelease(
  view: AppliedReleaseView,
  now: TurnTime,
): readonly AppliedReleaseWrite[] {
  const {applied, source} = view.board;
  const key = source.version;
  const value = {version: applied.version, appliedAt: now.monotonic};
  return [
    ...dropEndedReleases(view, now),
    {kind: 'put', section: 'appliedReleases', key, value},
  ];
}

/**
 * Drops the records that are older than any lease except for the latest of
 * these, which stands for all releases before it.
 */
function dropEndedReleases(
  view: AppliedReleaseView,
  now: TurnTime,
): readonly AppliedReleaseWrite[] {
  const before: MonotonicTime = now.monotonic - MAX_ENTRY_LEASE_MS;
  const ended: number[] = [];
  for (const {key, value} of view.board.appliedReleases.iterateFrom()) {
    if (value.appliedAt > before) {
      break;
    }
    ended.push(key);
  }
  return ended
    .slice(0, -1)
    .map(key => ({kind: 'delete', section: 'appliedReleases', key}));
}
