/** Logs when the group has fewer copies of what is committed than voters. */
import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  createDecisionWrite,
  defineControlController,
  listLatestMembers,
  listLatestVoters,
  measureSilence,
} from '@gentianshunt/controlModel';
import type {
  ContactBoard,
  ControlController,
  ControlObservation,
  ControlSections,
  ControlWrite,
  CopyWatch,
  LackingVoter,
  LogStatus,
  MissingCopy,
} from '@gentianshunt/controlModel';
import type {NodeId} from '@gentianshunt/identifiers';
import type {LogIndex, Member, MemberSummary} from '@gentianshunt/messages';

/** A voter that lacks an entry or is silent for this long is no copy. */
export const COPY_TIMEOUT_MS: Milliseconds = 1_000;
/** Time between two log lines about the same state of the group. */
export const GROUP_LOG_INTERVAL_MS: Milliseconds = 2_000;

type CopyReads = keyof ContactBoard | 'logStatus' | 'copyWatch';
type CopyView = View<ControlSections, CopyReads, ControlObservation>;
type CopyBoard = ContactBoard & {readonly logStatus: LogStatus};
type CopyWrite = ControlWrite<'copyWatch'>;
type LeadingWatch = Extract<CopyWatch, {readonly kind: 'leading'}>;
type Lacking = LeadingWatch['lacking'];

const NOTHING_KNOWN: LeadingWatch = {
  kind: 'leading',
  members: [],
  lacking: new Map(),
  copies: 0,
  missingSince: null,
  loggedAt: Number.NEGATIVE_INFINITY,
};

/**
 * Creates the controller that counts, while the member leads, the voters that
 * hold what is committed, at each heartbeat.
 */
export function createCopyController(): ControlController {
  return defineControlController<CopyReads, 'copyWatch'>({
    name: 'copies',
    reads: [
      'identity',
      'role',
      'memberships',
      'followerProgress',
      'logStatus',
      'copyWatch',
    ],
    writes: ['copyWatch'],
    observes: ['timerDue'],
    run: (view, now) => {
      const {role, copyWatch: before} = view.board;
      if (role.kind !== 'leader') {
        return before.kind === 'following'
          ? []
          : [{kind: 'set', section: 'copyWatch', value: {kind: 'following'}}];
      }
      return view.observation === undefined
        ? []
        : updateWatch(
            view,
            before.kind === 'leading' ? before : NOTHING_KNOWN,
            now,
          );
    },
  });
}

function updateWatch(
  {board}: CopyView,
  before: LeadingWatch,
  now: TurnTime,
): readonly CopyWrite[] {
  const voters = listLatestVoters(board);
  const lacking = listLacking(board, voters, before.lacking, now);
  const missing = listMissing(board, voters, lacking, now);
  const isMissing = missing.length > 0;
  const isLogged =
    isMissing && now.monotonic - before.loggedAt >= GROUP_LOG_INTERVAL_MS;
  const copies = voters.length - missing.length;
  const value: LeadingWatch = {
    kind: 'leading',
    members: listLatestMembers(board).map(member =>
      createSummary(board, member, now),
    ),
    lacking,
    copies,
    missingSince: isMissing ? (before.missingSince ?? now.monotonic) : null,
    loggedAt: isLogged ? now.monotonic : before.loggedAt,
  };
  const {commitIndex} = board.logStatus;
  return [
    {kind: 'set', section: 'copyWatch', value},
    ...(isLogged
      ? [
          createDecisionWrite({
            kind: 'copiesMissing',
            voters: voters.length,
            copies,
            commitIndex,
            missing,
          }),
        ]
      : []),
    ...(!isMissing && before.missingSince !== null
      ? [
          createDecisionWrite({
            kind: 'copiesComplete',
            voters: voters.length,
            commitIndex,
            missingMs: now.monotonic - before.missingSince,
          }),
        ]
      : []),
  ];
}

/** Lists for each voter the first committed entry that it was seen to lack. */
function listLacking(
  board: CopyBoard,
  voters: readonly Member[],
  before: Lacking,
  now: TurnTime,
): Lacking {
  const {commitIndex} = board.logStatus;
  return new Map(
    voters.flatMap((voter): readonly (readonly [NodeId, LackingVoter])[] => {
      const heldIndex = readHeldIndex(board, voter);
      if (heldIndex >= commitIndex) {
        return [];
      }
      const known = before.get(voter.node);
      const isSame = known !== undefined && heldIndex < known.index;
      const first = {index: commitIndex, since: now.monotonic};
      return [[voter.node, isSame ? known : first]];
    }),
  );
}

function readHeldIndex(
  {identity, logStatus, followerProgress}: CopyBoard,
  {node, storage}: Member,
): LogIndex {
  return storage === identity.storage
    ? logStatus.syncedIndex
    : (followerProgress.get(node)?.matchIndex ?? 0);
}

function createSummary(
  board: CopyBoard,
  member: Member,
  now: TurnTime,
): MemberSummary {
  const {commitIndex} = board.logStatus;
  const silentMs = measureSilence(board, member, now);
  return {
    ...member,
    silentMs: silentMs === null ? null : Math.round(silentMs),
    lagEntries: Math.max(0, commitIndex - readHeldIndex(board, member)),
    waitedMs: null,
  };
}

function listMissing(
  board: CopyBoard,
  voters: readonly Member[],
  lacking: Lacking,
  now: TurnTime,
): readonly MissingCopy[] {
  return voters
    .map(voter => {
      const since = lacking.get(voter.node)?.since ?? now.monotonic;
      const silentMs = measureSilence(board, voter, now) ?? 0;
      return {
        node: voter.node,
        missingMs: Math.max(silentMs, now.monotonic - since),
      };
    })
    .filter(({missingMs}) => missingMs >= COPY_TIMEOUT_MS);
}
