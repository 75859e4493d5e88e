/** Records and logs why a set leader grants nothing while requests wait. */
import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {
  EntryDecision,
  EntryObservation,
  EntrySections,
  EntryWrite,
  GrantHold,
  GrantHoldCause,
  LeadershipState,
} from '@gentianshunt/entryModel';

import type {EndpointCapacity, EntryQueue} from './allocation.js';
import {countWaiting, sumConcurrency, sumFree, sumOccupied} from './setSums.js';

/** A shorter time without grants is usual where capacity is short. */
const REPORTED_HOLD_MS: Milliseconds = 300;
/** Time between two log lines about the same set. */
const HOLD_LOG_INTERVAL_MS: Milliseconds = 1_000;

type HoldView = View<EntrySections, 'grantHolds', EntryObservation>;
type HoldWrite = EntryWrite<'grantHolds'>;

/** What an allocation found and decided. */
export interface RoundOutcome {
  /** Why nothing was granted to waiting requests; `null` if something was. */
  readonly cause: GrantHoldCause | null;
  readonly waiting: number;
  readonly entries: number;
  /** The endpoints that accept requests, with what may be used of them. */
  readonly capacities: readonly EndpointCapacity[];
}

/** The inputs from which the cause of a round without grants follows. */
export interface EmptyRound {
  /** Requests that wait, and those that their organisations' limits allow. */
  readonly openQueues: readonly EntryQueue[];
  readonly queues: readonly EntryQueue[];
  /** Capacity without and with the limits that endpoints named. */
  readonly capacities: readonly EndpointCapacity[];
  readonly limited: readonly EndpointCapacity[];
}

/** Finds why a round granted nothing; `null` if nothing waits. */
export function findHoldCause(round: EmptyRound): GrantHoldCause | null {
  const {openQueues, queues, capacities, limited} = round;
  if (countWaiting(openQueues) === 0) {
    return null;
  }
  if (countWaiting(queues) === 0) {
    return 'organisationsLimited';
  }
  if (capacities.length === 0) {
    return 'noEndpoints';
  }
  if (sumConcurrency(capacities) === 0) {
    return 'endpointsFailing';
  }
  if (sumFree(capacities) === 0) {
    return 'capacityOccupied';
  }
  return sumFree(limited) === 0 ? 'endpointsLimited' : 'requestsDeferred';
}

/** Records the outcome of a round; logs a time without grants at intervals. */
export function recordHold(
  {board}: HoldView,
  leadership: LeadershipState,
  outcome: RoundOutcome,
  now: TurnTime,
): readonly HoldWrite[] {
  const known = board.grantHolds.get(leadership.set);
  if (outcome.cause !== null) {
    return updateHold(leadership, outcome, outcome.cause, known, now);
  }
  return known === undefined ? [] : endHold(leadership, known, now);
}

function endHold(
  {set, epoch}: LeadershipState,
  {cause, since, loggedAt}: GrantHold,
  now: TurnTime,
): readonly HoldWrite[] {
  const heldMs = now.monotonic - since;
  return [
    {kind: 'delete', section: 'grantHolds', key: set},
    ...(loggedAt === null
      ? []
      : [createLog({kind: 'grantsResumed', set, epoch, cause, heldMs})]),
  ];
}

function updateHold(
  {set, epoch}: LeadershipState,
  {waiting, entries, capacities}: RoundOutcome,
  cause: GrantHoldCause,
  known: GrantHold | undefined,
  now: TurnTime,
): readonly HoldWrite[] {
  const {since, loggedAt} = known ?? {since: now.monotonic, loggedAt: null};
  const heldMs = now.monotonic - since;
  const isDue =
    loggedAt === null
      ? heldMs >= REPORTED_HOLD_MS
      : now.monotonic - loggedAt >= HOLD_LOG_INTERVAL_MS;
  const value = {cause, since, loggedAt: isDue ? now.monotonic : loggedAt};
  const put: HoldWrite = {kind: 'put', section: 'grantHolds', key: set, value};
  if (!isDue) {
    return [put];
  }
  const log = createLog({
    kind: 'grantsHeld',
    set,
    epoch,
    cause,
    heldMs,
    waiting,
    entries,
    endpoints: capacities.length,
    capacity: sumConcurrency(capacities),
    occupied: sumOccupied(capacities),
  });
  return [put, log];
}

function createLog(decision: EntryDecision): HoldWrite {
  return {kind: 'effect', effect: {kind: 'logDecision', decision}};
}
