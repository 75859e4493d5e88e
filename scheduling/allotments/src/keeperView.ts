/** What the keeper of allotments sees, and what it knows by that. */
import type {TurnTime, View} from '@gentianshunt/board';
import {DEFAULT_SHARED_BOUNDS} from '@gentianshunt/entryModel';
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
  return (board.identity.bounds ?? DEFAULT_SHARED_BOUNDS).allotmentTolerance;
}

/** What was used before this entry led the set has left the window. */
export function isWindowKnown(
  view: KeeperView,
  {grantsFrom}: LeadershipState,
  now: TurnTime,
): boolean {
  return now.monotonic - grantsFrom > readTolerance(view).windowMs;
}

/** Counts the entries that have told what they used before. */
export function countHeard(
  {board}: KeeperView,
  {set, epoch}: LeadershipState,
): number {
  return board.control.directory.entries.filter(
    ({address: {node}}) => board.heardEntries.get({set, node}) === epoch,
  ).length;
}

/** Before most entries have told their uses, a keeper can promise nothing. */
export function hasHeardMost(
  view: KeeperView,
  leadership: LeadershipState,
  now: TurnTime,
): boolean {
  const {entries} = view.board.control.directory;
  return (
    isWindowKnown(view, leadership, now) ||
    2 * countHeard(view, leadership) >= entries.length
  );
}
