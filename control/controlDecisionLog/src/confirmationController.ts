/** Logs when and why a leader may not answer entries. */
import type {TurnTime, View} from '@gentianshunt/board';
import {measureLeaseOverrun} from '@gentianshunt/clock';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {
  createDecisionWrite,
  defineControlController,
  isSilentMember,
  listLatestVoters,
} from '@gentianshunt/controlModel';
import type {
  ContactBoard,
  ControlController,
  ControlObservation,
  ControlSections,
  ControlWrite,
  LeaderConfirmation,
  Leadership,
} from '@gentianshunt/controlModel';
import {findUnconfirmedReason} from '@gentianshunt/entrySessions';
import type {LeaderBoard, UnconfirmedReason} from '@gentianshunt/entrySessions';
import {assertNever} from '@gentianshunt/errors';

/** Time between two log lines about a leader that is not confirmed. */
export const UNCONFIRMED_INTERVAL_MS: Milliseconds = 1_000;

type ConfirmationReads =
  keyof LeaderBoard | keyof ContactBoard | 'logStatus' | 'leaderConfirmation';
type ConfirmationView = View<
  ControlSections,
  ConfirmationReads,
  ControlObservation
>;
type ConfirmationWrite = ControlWrite<'leaderConfirmation'>;
type Leading = Extract<Leadership, {readonly kind: 'leading'}>;
type Obstacle = Exclude<UnconfirmedReason, 'notLeading'>;

/**
 * Creates the controller that logs when and why the member, as the leader, may
 * not answer entries. The timer of its heartbeats shows it a lapsed lease.
 */
export function createConfirmationController(): ControlController {
  return defineControlController<ConfirmationReads, 'leaderConfirmation'>({
    name: 'leaderConfirmation',
    reads: [
      'leadership',
      'applied',
      'identity',
      'role',
      'memberships',
      'followerProgress',
      'logStatus',
      'leaderConfirmation',
    ],
    writes: ['leaderConfirmation'],
    observes: ['timerDue'],
    run: (view, now) => {
      const {leadership, leaderConfirmation: before} = view.board;
      switch (leadership.kind) {
        case 'following':
          return before.kind === 'following'
            ? []
            : [createConfirmationWrite({kind: 'following'})];
        case 'leading': {
          const reason = findUnconfirmedReason(view.board, now);
          return reason === undefined || reason === 'notLeading'
            ? recordConfirmed(view, before, leadership, now)
            : recordUnconfirmed(view, before, leadership, reason, now);
        }
        default:
          return assertNever(leadership, 'leaderConfirmation');
      }
    },
  });
}

function createConfirmationWrite(value: LeaderConfirmation): ConfirmationWrite {
  return {kind: 'set', section: 'leaderConfirmation', value};
}

function recordConfirmed(
  {board}: ConfirmationView,
  before: LeaderConfirmation,
  {term}: Leading,
  now: TurnTime,
): readonly ConfirmationWrite[] {
  if (before.kind === 'confirmed') {
    return [];
  }
  const loggedAt = readLoggedAt(before);
  const write = createConfirmationWrite({kind: 'confirmed', loggedAt});
  if (before.kind === 'following' || loggedAt < before.since) {
    return [write];
  }
  return [
    write,
    createDecisionWrite({
      kind: 'leaderConfirmed',
      term,
      unconfirmedMs: now.monotonic - before.since,
      commitIndex: board.logStatus.commitIndex,
    }),
  ];
}

function recordUnconfirmed(
  {board}: ConfirmationView,
  before: LeaderConfirmation,
  leading: Leading,
  reason: Obstacle,
  now: TurnTime,
): readonly ConfirmationWrite[] {
  const since =
    before.kind === 'unconfirmed'
      ? before.since
      : findLossTime(board, leading, reason, now);
  const loggedAt = readLoggedAt(before);
  if (now.monotonic - loggedAt < UNCONFIRMED_INTERVAL_MS) {
    return before.kind === 'unconfirmed'
      ? []
      : [createConfirmationWrite({kind: 'unconfirmed', since, loggedAt})];
  }
  const {logStatus, applied} = board;
  const voters = listLatestVoters(board);
  return [
    createConfirmationWrite({
      kind: 'unconfirmed',
      since,
      loggedAt: now.monotonic,
    }),
    createDecisionWrite({
      kind: 'leaderUnconfirmed',
      term: leading.term,
      reason,
      unconfirmedMs: now.monotonic - since,
      ownIndex: leading.readIndex,
      syncedIndex: logStatus.syncedIndex,
      commitIndex: logStatus.commitIndex,
      appliedIndex: applied.index,
      voters: voters.length,
      silent: voters
        .filter(voter => isSilentMember(board, voter, now))
        .map(({node}) => node),
    }),
  ];
}

/** Finds when a leader that was confirmed, or was elected now, lost it. */
function findLossTime(
  {role}: Pick<ContactBoard, 'role'>,
  {lease}: Leading,
  reason: Obstacle,
  now: TurnTime,
): MonotonicTime {
  switch (reason) {
    case 'ownEntryNotApplied':
      return now.monotonic;
    case 'leaderLeaseLapsed':
      return Math.max(
        role.kind === 'leader' ? role.since : Number.NEGATIVE_INFINITY,
        now.monotonic - measureLeaseOverrun(lease, now),
      );
    default:
      return assertNever(reason, 'findLossTime');
  }
}

function readLoggedAt(confirmation: LeaderConfirmation): MonotonicTime {
  return confirmation.kind === 'following'
    ? Number.NEGATIVE_INFINITY
    : confirmation.loggedAt;
}
