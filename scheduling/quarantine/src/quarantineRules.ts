import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {Fingerprint, Quarantine} from '@gentianshunt/entryModel';
import type {FingerprintId, NodeId} from '@gentianshunt/identifiers';

import type {DecidedSuspect} from './decideSuspects.js';

/** Time in which other entries may object to a new quarantine. */
export const OBJECTION_MS: Milliseconds = 100;
/** How long a fingerprint is held for the first time; each relapse doubles it. */
export const FIRST_HOLD_MS: Milliseconds = 60_000;
export const MAX_HOLD_MS: Milliseconds = 16 * FIRST_HOLD_MS;
/** How long an entry may use its permission to test a fingerprint. */
export const TEST_MS: Milliseconds = 10_000;
/** How long a lifted quarantine counts for the length of the next one. */
export const LIFTED_RETENTION_MS: Milliseconds = 600_000;
/** A fingerprint that no caller uses is forgotten after this time without a test. */
export const UNTESTED_RETENTION_MS: Milliseconds = 3_600_000;
/** Most quarantines of each kind that an entry knows. */
export const MAX_QUARANTINES = 64;

/** Holds a fingerprint, for longer each time. */
export function createHold(
  known: Quarantine | undefined,
  {fingerprint, set, crashes, reporters}: DecidedSuspect,
  now: MonotonicTime,
): Quarantine {
  const level = (known?.level ?? 0) + 1;
  const holdMs = Math.min(MAX_HOLD_MS, FIRST_HOLD_MS * 2 ** (level - 1));
  const isFailedTest = known?.state.kind === 'testing';
  const from = isFailedTest ? now : now + OBJECTION_MS;
  return {
    fingerprint,
    set,
    revision: (known?.revision ?? 0) + 1,
    changedAt: now,
    level,
    crashes,
    reporters,
    state: {kind: 'held', from, until: now + holdMs},
  };
}

/** Permits an entry to run one request with a fingerprint. */
export function createTest(
  quarantine: Quarantine,
  tester: NodeId,
  now: MonotonicTime,
): Quarantine {
  return {
    ...quarantine,
    revision: quarantine.revision + 1,
    changedAt: now,
    state: {kind: 'testing', tester, until: now + TEST_MS},
  };
}

/**
 * Lifts a quarantine, because an answer under it was sound or other
 * entries objected. One that was objected to does not prolong the next one.
 */
export function createLift(
  quarantine: Quarantine,
  isUnderQuarantine: boolean,
  now: MonotonicTime,
): Quarantine {
  const level = quarantine.level - (isUnderQuarantine ? 0 : 1);
  const until = now + LIFTED_RETENTION_MS;
  return {
    ...quarantine,
    level,
    revision: quarantine.revision + 1,
    changedAt: now,
    state: {kind: 'lifted', until},
  };
}

/** The states in the order in which they yield to each other. */
const STATE_ORDER = ['lifted', 'testing', 'held'] as const;

/** Returns whether a quarantine replaces one that two entries decided. */
export function isLater(
  learnt: Quarantine,
  known: Quarantine | undefined,
): boolean {
  if (known === undefined || learnt.revision !== known.revision) {
    return learnt.revision > (known?.revision ?? 0);
  }
  return (
    STATE_ORDER.indexOf(learnt.state.kind) >
    STATE_ORDER.indexOf(known.state.kind)
  );
}

/** Returns whether a fingerprint that nobody may use now may be tested. */
export function isTestDue({state}: Quarantine, now: MonotonicTime): boolean {
  return state.kind !== 'lifted' && now >= state.until;
}

/** Returns whether a quarantine has nothing left to say. */
export function isForgotten({state}: Quarantine, now: MonotonicTime): boolean {
  const retentionMs = state.kind === 'lifted' ? 0 : UNTESTED_RETENTION_MS;
  return now >= state.until + retentionMs;
}

/** Lists which of the known quarantines make room for a new one. */
export function listEvicted(
  known: ReadonlyMap<FingerprintId, Quarantine>,
  kind: Fingerprint['kind'],
): readonly FingerprintId[] {
  const own = [...known.values()].filter(
    ({fingerprint}) => fingerprint.kind === kind,
  );
  if (own.length < MAX_QUARANTINES) {
    return [];
  }
  return own
    .sort((left, right) => rankEviction(left) - rankEviction(right))
    .slice(0, own.length - MAX_QUARANTINES + 1)
    .map(({fingerprint}) => fingerprint.id);
}

/** Lifted quarantines go first, then those that end first. */
function rankEviction({state}: Quarantine): number {
  return state.kind === 'lifted'
    ? state.until - Number.MAX_SAFE_INTEGER
    : state.until;
}
