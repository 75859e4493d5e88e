import type {MonotonicTime} from '@gentianshunt/clock';
import {assertNever} from '@gentianshunt/errors';
import type {Quarantine, ReportedQuarantine} from '@gentianshunt/entryModel';

/** Converts a quarantine for a message to entries with other clocks. */
export function toReportedQuarantine(
  {changedAt, state, ...quarantine}: Quarantine,
  now: MonotonicTime,
): ReportedQuarantine {
  const base = {...quarantine, ageMs: Math.max(0, now - changedAt)};
  const remainingMs = Math.max(0, state.until - now);
  switch (state.kind) {
    case 'held': {
      const startsInMs = Math.max(0, state.from - now);
      return {...base, state: {kind: 'held', startsInMs, remainingMs}};
    }
    case 'testing': {
      const {tester} = state;
      return {...base, state: {kind: 'testing', tester, remainingMs}};
    }
    case 'lifted':
      return {...base, state: {kind: 'lifted', remainingMs}};
    default:
      return assertNever(state, 'toReportedQuarantine');
  }
}

/** Converts a quarantine of a message to the receiver's clock. */
export function toQuarantine(
  {ageMs, state, ...quarantine}: ReportedQuarantine,
  now: MonotonicTime,
): Quarantine {
  const base = {...quarantine, changedAt: now - ageMs};
  const until = now + state.remainingMs;
  switch (state.kind) {
    case 'held': {
      const from = now + state.startsInMs;
      return {...base, state: {kind: 'held', from, until}};
    }
    case 'testing': {
      const {tester} = state;
      return {...base, state: {kind: 'testing', tester, until}};
    }
    case 'lifted':
      return {...base, state: {kind: 'lifted', until}};
    default:
      return assertNever(state, 'toQuarantine');
  }
}
