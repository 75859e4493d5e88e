import {iterateWhile} from '@gentianshunt/board';
import type {BoardView, TurnTime} from '@gentianshunt/board';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {ControlSections, ReleaseRecord} from '@gentianshunt/controlModel';
import type {NodeId} from '@gentianshunt/identifiers';
import type {
  ConfigurationVersion,
  ReleaseSummary,
} from '@gentianshunt/messages';

type SummaryBoard = Pick<
  BoardView<ControlSections>,
  'releases' | 'sessionVersions'
>;

/** Lists the releases that the leader remembers, newest first. */
export function listReleaseSummaries(
  board: SummaryBoard,
  now: TurnTime,
): readonly ReleaseSummary[] {
  const records = Array.from(board.releases.iterateFrom(), ({value}) => value);
  return records.reverse().map(record => toSummary(board, record, now));
}

function toSummary(
  board: SummaryBoard,
  record: ReleaseRecord,
  now: TurnTime,
): ReleaseSummary {
  const {release, index, bytes, proposedAt, appliedAt, inForceAt} = record;
  return {
    release,
    version: index,
    bytes,
    sinceProposedMs: computeAge(proposedAt, now),
    sinceAppliedMs: computeAge(appliedAt, now),
    sinceInForceMs: computeAge(inForceAt, now),
    lagging: inForceAt === null ? listLagging(board, index) : [],
  };
}

function computeAge(
  since: MonotonicTime | null,
  now: TurnTime,
): Milliseconds | null {
  return since === null ? null : Math.round(now.monotonic - since);
}

function listLagging(
  {sessionVersions}: SummaryBoard,
  version: ConfigurationVersion,
): readonly NodeId[] {
  const lagging = iterateWhile(
    sessionVersions,
    {version: 0, node: '' as NodeId},
    key => key.version < version,
  );
  return Array.from(lagging, ({key}) => key.node);
}
