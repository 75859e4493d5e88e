/** Logs that a member knows no leader, and what it knows of the group. */
import type {TurnTime, View} from '@gentianshunt/board';
import type {MonotonicTime} from '@gentianshunt/clock';
import {
  createDecisionWrite,
  defineControlController,
  listLatestVoters,
  NO_SEARCH,
} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlObservation,
  ControlSections,
  ControlWrite,
  LeaderContact,
  LeaderSearch,
  Role,
} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import type {NodeId} from '@gentianshunt/identifiers';

import {GROUP_LOG_INTERVAL_MS} from './copyController.js';

type SearchReads =
  | 'identity'
  | 'role'
  | 'ballot'
  | 'logStatus'
  | 'memberships'
  | 'startCheck'
  | 'electionTimer'
  | 'leaderSearch';
type SearchView = View<ControlSections, SearchReads, ControlObservation>;
type SearchWrite = ControlWrite<'leaderSearch'>;

/** Creates the controller that logs at intervals that no leader is known. */
export function createLeaderSearchController(): ControlController {
  return defineControlController<SearchReads, 'leaderSearch'>({
    name: 'leaderSearch',
    reads: [
      'identity',
      'role',
      'ballot',
      'logStatus',
      'memberships',
      'startCheck',
      'electionTimer',
      'leaderSearch',
    ],
    writes: ['leaderSearch'],
    observes: ['timerDue'],
    run: (view, now) => {
      const {role, leaderSearch: before} = view.board;
      if (isLeaderKnown(role)) {
        return before === NO_SEARCH ? [] : [createSearchWrite(NO_SEARCH)];
      }
      return view.observation === undefined ? [] : recordSearch(view, now);
    },
  });
}

function isLeaderKnown(role: Role): boolean {
  switch (role.kind) {
    case 'leader':
      return true;
    case 'follower':
      return role.leader !== null;
    case 'preCandidate':
    case 'candidate':
      return false;
    default:
      return assertNever(role, 'isLeaderKnown');
  }
}

function recordSearch(
  {board}: SearchView,
  now: TurnTime,
): readonly SearchWrite[] {
  const {leaderSearch: before, electionTimer} = board;
  const since =
    before.since ?? readContactTime(electionTimer.leaderContact, now);
  const loggedAt = before.loggedAt ?? since;
  if (now.monotonic - loggedAt < GROUP_LOG_INTERVAL_MS) {
    return before.since === null
      ? [createSearchWrite({since, loggedAt: null})]
      : [];
  }
  const {identity, role, ballot, logStatus, startCheck} = board;
  const voters = listLatestVoters(board);
  return [
    createSearchWrite({since, loggedAt: now.monotonic}),
    createDecisionWrite({
      kind: 'leaderMissing',
      role: role.kind,
      term: ballot.term,
      missingMs: now.monotonic - since,
      folder: startCheck.kind,
      isVoter: voters.some(({storage}) => storage === identity.storage),
      voters: voters.map(({node}) => node),
      votes: listVotes(role),
      lastIndex: logStatus.lastIndex,
    }),
  ];
}

function createSearchWrite(value: LeaderSearch): SearchWrite {
  return {kind: 'set', section: 'leaderSearch', value};
}

function readContactTime(contact: LeaderContact, now: TurnTime): MonotonicTime {
  return contact.kind === 'none' ? now.monotonic : contact.at;
}

/** Lists the nodes that have granted this member their vote. */
function listVotes(role: Role): readonly NodeId[] {
  return role.kind === 'preCandidate' || role.kind === 'candidate'
    ? [...role.votes]
    : [];
}
