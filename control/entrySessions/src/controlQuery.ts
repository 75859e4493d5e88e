import {iterateWhile} from '@gentianshunt/board';
import type {BoardView, TurnTime} from '@gentianshunt/board';
import type {CommandRecord, ControlSections} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import type {
  CalendarMonth,
  CommandNumber,
  CommandSummary,
  ControlQuery,
  ControlQueryResult,
  MemberSummary,
  RecentCount,
  ServiceCount,
} from '@gentianshunt/messages';
import type {
  OrganisationId,
  RequestKindId,
  TierId,
} from '@gentianshunt/identifiers';

import {listReleaseSummaries} from './releaseSummaries.js';

/** Maximum number of commands or counts in one query result. */
export const MAX_QUERY_ROWS = 10_000;

/** The sections that queries read. */
export type QueryBoard = Pick<
  BoardView<ControlSections>,
  | 'commands'
  | 'commandFloor'
  | 'nextCommand'
  | 'serviceCounts'
  | 'recentCounts'
  | 'source'
  | 'releases'
  | 'sessionVersions'
  | 'copyWatch'
  | 'joinWatch'
>;

/** Answers a query from the applied state. */
export function answerControlQuery(
  board: QueryBoard,
  query: ControlQuery,
  now: TurnTime,
): ControlQueryResult {
  switch (query.kind) {
    case 'counts':
      return {kind: 'counts', counts: listCounts(board, query.month)};
    case 'recentCounts':
      return {kind: 'recentCounts', counts: listRecentCounts(board)};
    case 'source':
      return {
        kind: 'source',
        source: board.source.version < 0 ? null : board.source,
      };
    case 'releases':
      return {kind: 'releases', releases: listReleaseSummaries(board, now)};
    case 'members':
      return {kind: 'members', members: listMembers(board, now)};
    case 'commands':
      return {
        kind: 'commands',
        nextFree: board.nextCommand,
        floor: board.commandFloor,
        commands: listCommands(board, query.limit),
      };
    default:
      return assertNever(query, 'answerControlQuery');
  }
}

/** Lists the members of the group and the nodes that wait to join it. */
function listMembers(
  {copyWatch, joinWatch}: QueryBoard,
  now: TurnTime,
): readonly MemberSummary[] {
  const members = copyWatch.kind === 'leading' ? copyWatch.members : [];
  const joining = [...joinWatch.waiting].map(
    ([node, {storage, since}]): MemberSummary => ({
      node,
      storage,
      role: 'joining',
      silentMs: null,
      lagEntries: null,
      waitedMs: Math.round(now.monotonic - since),
    }),
  );
  return [...members, ...joining];
}

function listCounts(
  board: QueryBoard,
  month: CalendarMonth | null,
): readonly ServiceCount[] {
  const from = {
    month: month ?? ('' as CalendarMonth),
    tier: '' as TierId,
    organisation: '' as OrganisationId,
    kind: '' as RequestKindId,
  };
  const counts: ServiceCount[] = [];
  const found = iterateWhile(
    board.serviceCounts,
    from,
    key => month === null || key.month === month,
  );
  for (const {key, value} of found) {
    if (counts.length === MAX_QUERY_ROWS) {
      break;
    }
    counts.push({key, totals: value});
  }
  return counts;
}

function listRecentCounts(board: QueryBoard): readonly RecentCount[] {
  const counts: RecentCount[] = [];
  for (const {key, value} of board.recentCounts.iterateFrom()) {
    if (counts.length === MAX_QUERY_ROWS) {
      break;
    }
    counts.push({key, totals: value});
  }
  return counts;
}

/** Lists the latest commands, highest number first; numbers may have gaps. */
function listCommands(
  board: QueryBoard,
  limit: number,
): readonly CommandSummary[] {
  const size = Math.min(limit, MAX_QUERY_ROWS);
  const all = Array.from(board.commands.iterateFrom(), ({key, value}) =>
    toSummary(key, value),
  );
  return all.slice(Math.max(0, all.length - size)).reverse();
}

function toSummary(
  number: CommandNumber,
  record: CommandRecord,
): CommandSummary {
  const {operator, digest, answer} = record;
  return {
    number,
    operator,
    digest,
    version: answer.kind === 'applied' ? answer.version : 0,
    result: answer.kind === 'applied' ? answer.result.kind : 'refused',
  };
}
