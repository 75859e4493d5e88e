/** What the keeper of allotments sees, and what it knows by that. */
import type {TurnTime, View} from '@gentianshunt/board';
import {readSharedBounds} from '@gentianshunt/entryModel';
import type {
  AllotmentTolerance,
  EntryObservation,
  EntrySections,
  LeadershipState,
} from '@gentianshunt/entryModel';

/** The sections that the keeper of allotments reads. */
export type KeeperReads =
  | 'identity'
  | 'control'
  | 'configuration'
  | 'leaderships'
  | 'heardEntries'
  | 'keptAllotments';

/** The board as the keeper of allotments sees it. */
export type KeeperView = View<EntrySections, KeeperReads, EntryObservation>;

/** Reads what the operator concedes beyond allotments. */
export function readTolerance({board}: KeeperView): AllotmentTolerance {
  return readSharedBounds(board.identity).allotmentTolerance;
}

/** What was used before this entry led the set has left the window. */
export function isWindowKnown(
  view: KeeperView,
  {grantsFrom}: LeadershipState,
  now: TurnTime,
): boolean {
  return now.monotonic - grantsFrom > readTolerance(view).windowMs;
}

/**
 * Sums up the parts of the window before this entry led the set of which the
 * entries have not told: all of it, or what lies before their processes began.
 */
export function sumUntold(
  view: KeeperView,
  {set, epoch, grantsFrom}: LeadershipState,
): number {
  const {control, heardEntries} = view.board;
  const {windowMs} = readTolerance(view);
  const parts = control.directory.entries.map(({address: {node}}) => {
    const heard = heardEntries.get({set, node});
    const toldMs =
      heard?.epoch === epoch ? Math.max(0, grantsFrom - heard.startedAt) : 0;
    return Math.max(0, 1 - toldMs / windowMs);
  });
  return parts.reduce((sum, part) => sum + part, 0);
}

/** Before most entries have told their uses, a keeper can promise nothing. */
export function hasHeardMost(
  view: KeeperView,
  leadership: LeadershipState,
  now: TurnTime,
): boolean {
  const {control, heardEntries} = view.board;
  const {set, epoch} = leadership;
  const {entries} = control.directory;
  const heard = entries.filter(
    ({address: {node}}) => heardEntries.get({set, node})?.epoch === epoch,
  );
  return (
    isWindowKnown(view, leadership, now) || 2 * heard.length >= entries.length
  );
}
