/** The sections that the quota owner reads, and what it derives from them. */
import type {TurnTime, View} from '@gentianshunt/board';
import {readSharedBounds} from '@gentianshunt/entryModel';
import type {
  EntryObservation,
  EntrySections,
  LeadershipState,
  QuotaTolerance,
} from '@gentianshunt/entryModel';

/** The sections that the controller of the quota owner reads. */
export type QuotaOwnerReads =
  | 'identity'
  | 'control'
  | 'configuration'
  | 'leaderships'
  | 'reportedEntries'
  | 'ownedQuotaUsage';

/** The view that the controller of the quota owner gets of the board. */
export type QuotaOwnerView = View<
  EntrySections,
  QuotaOwnerReads,
  EntryObservation
>;

/** Reads the usage beyond quotas that the operator tolerates. */
export function readTolerance({
  board,
}: Pick<QuotaOwnerView, 'board'>): QuotaTolerance {
  return readSharedBounds(board.identity).allotmentTolerance;
}

/**
 * Returns whether this entry has led the set for a whole window, so that it
 * has counted all usage in the window itself.
 */
export function isWindowKnown(
  view: QuotaOwnerView,
  {grantsFrom}: LeadershipState,
  now: TurnTime,
): boolean {
  return now.monotonic - grantsFrom > readTolerance(view).windowMs;
}

/**
 * Sums up how much of the usage before this entry led the set is unreported.
 * Each entry counts as a fraction of the window: 1 if it has not reported,
 * otherwise the fraction that lies before the start of its process.
 */
export function sumUnreported(
  view: QuotaOwnerView,
  {set, epoch, grantsFrom}: LeadershipState,
): number {
  const {control, reportedEntries} = view.board;
  const {windowMs} = readTolerance(view);
  const fractions = control.directory.entries.map(({address: {node}}) => {
    const report = reportedEntries.get({set, node});
    const reportedMs =
      report?.epoch === epoch ? Math.max(0, grantsFrom - report.startedAt) : 0;
    return Math.max(0, 1 - reportedMs / windowMs);
  });
  return fractions.reduce((sum, fraction) => sum + fraction, 0);
}

/**
 * Returns whether this entry knows enough of the usage in the window to cover
 * requests: it has led the set for a whole window, or at least half of the
 * entries have reported.
 */
export function hasMostReports(
  view: QuotaOwnerView,
  leadership: LeadershipState,
  now: TurnTime,
): boolean {
  if (isWindowKnown(view, leadership, now)) {
    return true;
  }
  const {control, reportedEntries} = view.board;
  const {set, epoch} = leadership;
  const {entries} = control.directory;
  const reported = entries.filter(
    ({address: {node}}) => reportedEntries.get({set, node})?.epoch === epoch,
  );
  return 2 * reported.length >= entries.length;
}
