import t from 'tap';

import {listLateRequests} from './leaveChecker.js';
import {createFractions, createLeavingSet} from './leavingSet.js';
import type {FaultKind, LeaveKind, LeavingSet} from './leavingSet.js';

const ENTRIES = 9;
const ENDPOINTS = 6;
const BOUNDS = {drainMs: 2_000, contactMs: 3_000};
const SEEDS = 10;
const DAY_MS = 20_000;
const FAULTS: readonly FaultKind[] = [
  'pause',
  'pauseWithLoss',
  'suspend',
  'kill',
  'mute',
  'deafen',
];

/** Runs a day of faults and leaves that depends on a seed only. */
function runDay(seed: number): LeavingSet {
  const set = createLeavingSet({entries: ENTRIES, endpoints: ENDPOINTS});
  const draw = createFractions(seed);
  const pick = <Item>(items: readonly Item[]): Item =>
    items[Math.floor(draw() * items.length)]!;
  for (let elapsed = 0; elapsed < DAY_MS;) {
    const stepMs = 100 + Math.floor(draw() * 500);
    const running = set.nodes.filter(set.isRunning);
    if (draw() < 0.25 && running.length > ENTRIES / 2) {
      set.disturb(pick(running), pick(FAULTS), 500 + draw() * 6_000);
    }
    if (draw() < 0.05) {
      set.moveLeader(pick(running));
    }
    const told = pick(set.nodes.filter(set.isRunning));
    const kind = pick<LeaveKind>(['left', 'draining']);
    set.leave(pick(set.listActive()), told, kind);
    set.run(stepMs);
    elapsed += stepMs;
  }
  return set;
}

for (let seed = 1; seed <= SEEDS; seed += 1) {
  t.test(`no request after a leave, faults of seed ${seed}`, async t => {
    const {record} = runDay(seed);
    t.ok(record.leaves.length > 0, 'endpoints left');
    t.same(listLateRequests(record, BOUNDS), []);
  });
}
