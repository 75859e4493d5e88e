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

type ReleaseReads = 'applied' | 'source' | 'releases';
type ReleaseView = View<ControlSections, ReleaseReads, ControlObservation>;
type ReleaseWrite = ControlWrite<'releases'>;

/**
 * Creates the controller that records when releases were applied here. A leader
 * derives from it when the leases granted on an older release have ended.
 */
export function createReleaseController(): ControlController {
  return defineControlController<ReleaseReads, 'releases'>({
    name: 'releases',
    reads: ['applied', 'source', 'releases'],
    writes: ['releases'],
    observes: [],
    run: (view, now) =>
      view.readChanges('source').size > 0 ? recordRelease(view, now) : [],
  });
}

function recordRelease(
  view: ReleaseView,
  now: TurnTime,
): readonly ReleaseWrite[] {
  const {applied, source} = view.board;
  const key = source.version;
  const value = {version: applied.version, appliedAt: now.monotonic};
  return [
    ...dropEndedReleases(view, now),
    {kind: 'put', section: 'releases', key, value},
  ];
}

/**
 * Drops the records that are older than any lease except for the latest of
 * these, which stands for all releases before it.
 */
function dropEndedReleases(
  view: ReleaseView,
  now: TurnTime,
): readonly ReleaseWrite[] {
  const before: MonotonicTime = now.monotonic - MAX_ENTRY_LEASE_MS;
  const ended: number[] = [];
  for (const {key, value} of view.board.releases.iterateFrom()) {
    if (value.appliedAt > before) {
      break;
    }
    ended.push(key);
  }
  return ended
    .slice(0, -1)
    .map(key => ({kind: 'delete', section: 'releases', key}));
}
