/** Logs an entry's relation to the control daemons, and whether it serves. */
import type {TurnTime, View} from '@gentianshunt/board';
import {isLeaseValid, measureLeaseOverrun} from '@gentianshunt/clock';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {findObject, RELEASE_ID} from '@gentianshunt/configuration';
import type {
  EntryDecision,
  EntryObservation,
  EntrySections,
  LoggedState,
} from '@gentianshunt/entryModel';

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
  return {
    leader,
    version,
    adoptedAt: isAdopted ? now.monotonic : before.adoptedAt,
    hasLease: isLeaseValid(lease, now),
    lease,
    renewedAt: isRenewed ? now.monotonic : before.renewedAt,
    startedAt: before.startedAt ?? now.monotonic,
  };
}

/** Returns whether two statuses are the same. */
export function isStatusSame(left: EntryStatus, right: EntryStatus): boolean {
  return (
    left.leader === right.leader &&
    left.version === right.version &&
    left.hasLease === right.hasLease &&
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
  };
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
