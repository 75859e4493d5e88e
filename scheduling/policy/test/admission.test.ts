import t from 'tap';

import {decideAdmission} from '../src/index.js';
import type {AdmissionDecision, AdmissionInput} from '../src/index.js';

function createInput(changes: Partial<AdmissionInput> = {}): AdmissionInput {
  return {
    isUsedUp: true,
    ahead: 4,
    ownTier: 2,
    dispatchedPerSecond: 10,
    higherPerSecond: 0,
    objectiveMs: 600,
    timeLimitMs: 6_000,
    ...changes,
  };
}

const ROWS: readonly {
  readonly name: string;
  readonly changes: Partial<AdmissionInput>;
  readonly decision: AdmissionDecision;
}[] = [
  {name: 'it starts in time', changes: {}, decision: {kind: 'admit'}},
  {
    name: 'there is room',
    changes: {isUsedUp: false, ahead: 100},
    decision: {kind: 'admit'},
  },
  {
    name: 'it would start late',
    changes: {ahead: 12, dispatchedPerSecond: 10, timeLimitMs: 10_000},
    decision: {kind: 'refuse', retryAfterMs: 1_300},
  },
  {
    name: 'higher tiers take most of the room',
    changes: {higherPerSecond: 6, ahead: 4, timeLimitMs: 10_000},
    decision: {kind: 'refuse', retryAfterMs: 1_250},
  },
  {
    name: 'higher tiers take all of the room',
    changes: {higherPerSecond: 12},
    decision: {kind: 'refuse', retryAfterMs: 900},
  },
  {
    name: 'it is the first of its tier',
    changes: {higherPerSecond: 12, ownTier: 0},
    decision: {kind: 'admit'},
  },
  {
    name: 'room returns soon, but not in time',
    changes: {objectiveMs: 50, dispatchedPerSecond: 40},
    decision: {kind: 'refuse', retryAfterMs: 250},
  },
];

// Guards against calls that are held to their end without being tried, and
// against a tier of which no call is ever tried.
for (const {name, changes, decision} of ROWS) {
  t.test(`a call when ${name}`, async t => {
    t.same(decideAdmission(createInput(changes)), decision);
  });
}
