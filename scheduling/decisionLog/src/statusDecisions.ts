/** Logs an entry's relation to the control daemons, and whether it serves. */
import type {TurnTime, View} from '@gentianshunt/board';
import {isLeaseValid, measureLeaseOverrun} from '@gentianshunt/clock';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {findObject, RELEASE_ID} from '@gentianshunt/configuration';
import type {
  ControlStatus,
  EntryDecision,
  EntryObservation,
  EntrySections,
  LeaseLapse,
  LoggedState,
} from '@gentianshunt/entryModel';

import {findMissingLeaseCause, listHeartbeatSummaries} from './missingLease.js';

/** Time between two log lines about a lease that is missing. */
export const LEASE_MISSING_INTERVAL_MS: Milliseconds = 1_000;

type StatusView = View<
  EntrySections,
  'control' | 'configuration' | 'service',
  EntryObservation
>;

/** The entry's relation to the control daemons, as far as it is logged. */
export type EntryStatus = Omit<LoggedState, 'endpoints'>;

/** Reads the status that counts as logged after this run. */
export function readEntryStatus(
  {board}: StatusView,
  before: EntryStatus,
  now: TurnTime,
): EntryStatus {
  const {leader, version, lease} = board.control;
  const isAdopted = before.version !== version;
  const isRenewed = before.lease !== lease;
  const hasLease = isLeaseValid(lease, now);
  return {
    leader,
    version,
    adoptedAt: isAdopted ? now.monotonic : before.adoptedAt,
    hasLease,
    lapse: hasLease ? null : readLapse(board.control, before, now),
    lease,
    renewedAt: isRenewed ? now.monotonic : before.renewedAt,
    startedAt: before.startedAt ?? now.monotonic,
  };
}

/** Reads the lapse that counts as logged after this run. */
function readLapse(
  {lease, lastSequence}: ControlStatus,
  {lapse, startedAt}: EntryStatus,
  now: TurnTime,
): LeaseLapse {
  const loggedAt = now.monotonic;
  if (lapse === null) {
    const isFirst = startedAt === null;
    const since = isFirst
      ? loggedAt
      : loggedAt - measureLeaseOverrun(lease, now);
    return {since, sequence: isFirst ? 0 : lastSequence, loggedAt};
  }
  return isLapseDue(lapse, now) ? {...lapse, loggedAt} : lapse;
}

function isLapseDue({loggedAt}: LeaseLapse, now: TurnTime): boolean {
  return now.monotonic - loggedAt >= LEASE_MISSING_INTERVAL_MS;
}

/** Returns whether two statuses are the same. */
export function isStatusSame(left: EntryStatus, right: EntryStatus): boolean {
  return (
    left.leader === right.leader &&
    left.version === right.version &&
    left.hasLease === right.hasLease &&
    left.lapse === right.lapse &&
    left.lease === right.lease &&
    left.startedAt === right.startedAt
  );
}

/** Lists changes of the control leader, configuration, lease and service. */
export function listStatusDecisions(
  view: StatusView,
  before: EntryStatus,
  after: EntryStatus,
  now: TurnTime,
): readonly EntryDecision[] {
  const decisions: EntryDecision[] = [];
  if (before.leader !== after.leader) {
    const {leader: from} = before;
    decisions.push({kind: 'controlLeaderChanged', from, to: after.leader});
  }
  if (before.version !== after.version) {
    decisions.push(describeAdoption(view, before, after, now));
  }
  // A lease may lapse and be renewed within one turn, after a suspension.
  const hasLapsed = before.hasLease && !isLeaseValid(before.lease, now);
  if (hasLapsed) {
    decisions.push(describeLapse(view, before, after, now));
  }
  if (after.hasLease && (hasLapsed || !before.hasLease)) {
    decisions.push(describeRenewal(view, before, after, now));
  }
  const {lapse} = before;
  if (lapse !== null && !after.hasLease && isLapseDue(lapse, now)) {
    decisions.push(describeMissing(view, lapse, now));
  }
  if (view.readChanges('service').size > 0) {
    const {kind: state} = view.board.service;
    decisions.push({kind: 'serviceChanged', state});
  }
  return decisions;
}

function describeAdoption(
  view: StatusView,
  before: EntryStatus,
  after: EntryStatus,
  now: TurnTime,
): EntryDecision {
  return {
    kind: 'configurationApplied',
    configurationVersion: after.version,
    fromVersion: before.version,
    release: findRelease(view),
    changes: view.readChanges('configuration').size,
    sinceAdoptedMs: computeAge(before.adoptedAt, now),
  };
}

function describeLapse(
  view: StatusView,
  before: EntryStatus,
  {leader, version, adoptedAt}: EntryStatus,
  now: TurnTime,
): EntryDecision {
  return {
    kind: 'leaseLost',
    leader,
    expiredMs: measureLeaseOverrun(before.lease, now),
    configurationVersion: version,
    release: findRelease(view),
    sinceAdoptedMs: computeAge(adoptedAt, now),
    sinceRenewedMs: computeAge(before.renewedAt, now),
    cause: findMissingLeaseCause(view.board.control),
    heartbeats: listHeartbeatSummaries(view.board.control, now),
  };
}

function describeMissing(
  {board}: StatusView,
  {since}: LeaseLapse,
  now: TurnTime,
): EntryDecision {
  const {control} = board;
  return {
    kind: 'leaseMissing',
    leader: control.leader,
    configurationVersion: control.version,
    missingMs: now.monotonic - since,
    cause: findMissingLeaseCause(control),
    heartbeats: listHeartbeatSummaries(control, now),
  };
}

function describeRenewal(
  view: StatusView,
  before: EntryStatus,
  {leader, version, startedAt}: EntryStatus,
  now: TurnTime,
): EntryDecision {
  return {
    kind: 'leaseRegained',
    leader,
    configurationVersion: version,
    release: findRelease(view),
    lapsedMs:
      before.renewedAt === null ? null : measureLeaseOverrun(before.lease, now),
    sinceStartMs: computeAge(startedAt, now) ?? 0,
    heartbeatsSent: countLapseHeartbeats(view.board.control, before),
  };
}

/** Counts the heartbeats since the lapse began, or since the start. */
function countLapseHeartbeats(
  {lastSequence}: ControlStatus,
  {lapse, startedAt}: EntryStatus,
): number {
  if (startedAt === null) {
    return lastSequence;
  }
  return lapse === null ? 0 : lastSequence - lapse.sequence;
}

/** Finds the operator's version of the configuration that is obeyed. */
function findRelease({board}: StatusView): number | null {
  const release = findObject(board.configuration, 'release', RELEASE_ID);
  return release?.version ?? null;
}

function computeAge(
  since: MonotonicTime | null,
  now: TurnTime,
): Milliseconds | null {
  return since === null ? null : now.monotonic - since;
}
