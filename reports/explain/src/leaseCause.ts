/** Finds in log lines why an entry had no lease. */
import type {Milliseconds} from '@gentianshunt/clock';
import {assertNever} from '@gentianshunt/errors';

import {findGroupState, findUnconfirmedLeader} from './groupState.js';
import type {GroupState, UnconfirmedLeader} from './groupState.js';
import type {LoggedLapse} from './leaseLapses.js';
import {readHeartbeats} from './loggedHeartbeat.js';
import type {LoggedHeartbeat} from './loggedHeartbeat.js';
import {readText} from './logLine.js';
import type {LogLine} from './logLine.js';
import {findDaemon} from './nodeNames.js';
import type {NodeNames} from './nodeNames.js';

/** Why an entry had no lease. */
export type LeaseCause =
  /** The entry itself sent no heartbeat. */
  | {readonly kind: 'notAsked'}
  | {readonly kind: 'noReply'; readonly asked: readonly string[]}
  | {
      readonly kind: 'replyLate';
      readonly from: string;
      readonly afterMs: Milliseconds;
    }
  | ({readonly kind: 'leaderUnconfirmed'} & UnconfirmedLeader)
  /** A leader that daemons name does not answer, and its log says nothing. */
  | {readonly kind: 'leaderSilent'; readonly leader: string}
  | {readonly kind: 'noLeader'; readonly group: GroupState | null}
  /** No line of the entry says why. */
  | {readonly kind: 'notLogged'};

/** The logs in which a cause is looked for. */
export interface LeaseLogs {
  readonly lines: readonly LogLine[];
  readonly names: NodeNames;
}

/** Finds why an entry had no lease at a time within a lapse. */
export function findLeaseCause(
  logs: LeaseLogs,
  {evidence}: LoggedLapse,
  at: Date,
): LeaseCause {
  const line =
    evidence.find(candidate => candidate.at >= at) ?? evidence.at(-1);
  if (line === undefined) {
    return {kind: 'notLogged'};
  }
  const heartbeats = readHeartbeats(line);
  const unconfirmed = findUnconfirmed(logs, at);
  switch (readText(line, 'cause')) {
    case 'notAsked':
      return {kind: 'notAsked'};
    case 'replyLate':
      return findLateReply(logs, heartbeats);
    case 'leaderSilent':
    case 'leaderUnconfirmed':
      return unconfirmed === undefined
        ? findSilentLeader(logs, heartbeats)
        : unconfirmed;
    case 'noReply':
      return unconfirmed === undefined
        ? findNoReply(logs, heartbeats, at)
        : unconfirmed;
    case 'noLeader':
      return {kind: 'noLeader', group: findGroupState(logs.lines, at) ?? null};
    default:
      return {kind: 'notLogged'};
  }
}

function findUnconfirmed(
  {lines, names}: LeaseLogs,
  at: Date,
): LeaseCause | undefined {
  const leader = findUnconfirmedLeader(lines, at);
  return (
    leader && {
      kind: 'leaderUnconfirmed',
      ...leader,
      silent: leader.silent.map(node => findDaemon(names, node)),
    }
  );
}

function findLateReply(
  {names}: LeaseLogs,
  heartbeats: readonly LoggedHeartbeat[],
): LeaseCause {
  const [latest] = heartbeats
    .filter(({answer}) => answer === 'unused' || answer === 'renewed')
    .sort((left, right) => (right.afterMs ?? 0) - (left.afterMs ?? 0));
  return latest === undefined
    ? {kind: 'notLogged'}
    : {
        kind: 'replyLate',
        from: findDaemon(names, latest.to),
        afterMs: latest.afterMs ?? 0,
      };
}

function findSilentLeader(
  {names}: LeaseLogs,
  heartbeats: readonly LoggedHeartbeat[],
): LeaseCause {
  const leader = heartbeats
    .map(sent => sent.leader)
    .filter(name => name !== null)
    .at(-1);
  return leader === undefined
    ? {kind: 'notLogged'}
    : {kind: 'leaderSilent', leader: findDaemon(names, leader)};
}

/** Without any reply, a group that has no leader is the likelier cause. */
function findNoReply(
  {lines, names}: LeaseLogs,
  heartbeats: readonly LoggedHeartbeat[],
  at: Date,
): LeaseCause {
  const group = findGroupState(lines, at);
  if (group !== undefined && group.copies * 2 <= group.voters) {
    return {kind: 'noLeader', group};
  }
  const silent = heartbeats.filter(({answer}) => answer === 'none');
  const asked = silent.map(({to}) => findDaemon(names, to));
  return {kind: 'noReply', asked: [...new Set(asked)]};
}

/** Describes a cause in one sentence. */
export function describeLeaseCause(cause: LeaseCause): string {
  switch (cause.kind) {
    case 'notAsked':
      return "the entry sent no heartbeat; see its 'loopDelayed'";
    case 'noReply':
      return `no reply from ${cause.asked.join(', ')}`;
    case 'replyLate':
      return `replies came too late to renew the lease: ${cause.from} replied after ${cause.afterMs} ms`;
    case 'leaderUnconfirmed':
      return `leader ${cause.daemon} was not confirmed for ${cause.unconfirmedMs} ms, ${describeReason(cause)}`;
    case 'leaderSilent':
      return `leader ${cause.leader} did not reply, and its log does not say why`;
    case 'noLeader':
      return `no leader, ${describeGroup(cause.group)}`;
    case 'notLogged':
      return 'the logs do not say why';
    default:
      return assertNever(cause, 'describeLeaseCause');
  }
}

function describeReason({reason, silent}: UnconfirmedLeader): string {
  const because = REASONS.get(reason) ?? `with reason ${reason}`;
  return silent.length === 0
    ? because
    : `${because}; silent: ${silent.join(', ')}`;
}

const REASONS: ReadonlyMap<string, string> = new Map([
  ['ownEntryNotApplied', 'because the first entry of its term was not applied'],
  ['leaderLeaseLapsed', 'because its own lease had lapsed'],
]);

function describeGroup(group: GroupState | null): string {
  return group === null
    ? 'and the logs do not say what the group had'
    : `the group had ${group.copies} of ${group.voters} copies`;
}
