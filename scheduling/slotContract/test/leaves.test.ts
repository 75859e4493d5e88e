import t from 'tap';

import {listLateRequests} from './leaveChecker.js';
import {createLeavingSet} from './leavingSet.js';
import type {FaultKind, LeavingSet} from './leavingSet.js';

const ENTRIES = 9;
const ENDPOINTS = 6;
const LEADER = 'entry-0';
const TOLD = 'entry-3';
const AFFECTED = 'entry-6';
const DRAIN_MS = 2_000;
const WATCH_MS = 8_000;
/** Binds entries from the moment at which a disturbance ends. */
const AT_ONCE = {drainMs: DRAIN_MS, contactMs: 0};

/** A leave, and what the set leader misses of it. */
interface LeaveCase {
  readonly name: string;
  readonly disturb: (set: LeavingSet) => void;
  /** Time from the disturbance to the leave. */
  readonly leadMs: number;
}

function createSet(): LeavingSet {
  const set = createLeavingSet({entries: ENTRIES, endpoints: ENDPOINTS});
  set.run(2_000);
  return set;
}

/** Lets the leader miss the leave, so that only entries may know of it. */
function silenceLeader(set: LeavingSet): void {
  set.disturb(LEADER, 'pauseWithLoss', WATCH_MS);
  set.run(1_500);
}

function createFault(kind: FaultKind, durationMs: number): LeaveCase {
  return {
    name: `${kind} for ${durationMs} ms`,
    disturb: set => set.disturb(AFFECTED, kind, durationMs),
    leadMs: durationMs - 250,
  };
}

const CASES: readonly LeaveCase[] = [
  createFault('pause', 4_300),
  createFault('pauseWithLoss', 900),
  createFault('pauseWithLoss', 2_600),
  createFault('pauseWithLoss', 3_200),
  createFault('pauseWithLoss', 4_300),
  createFault('suspend', 4_300),
  createFault('deafen', 600),
  createFault('deafen', 4_300),
  {
    name: 'a link that loses one message',
    disturb: set => set.cutLink(TOLD, AFFECTED, 500),
    leadMs: 400,
  },
  {
    name: 'a link that is silent for good',
    disturb: set => set.cutLink(TOLD, AFFECTED, WATCH_MS),
    leadMs: 400,
  },
];

// Guards against entries that never learn of a leave that they missed.
for (const {name, disturb, leadMs} of CASES) {
  for (const kind of ['left', 'draining'] as const) {
    t.test(`an entry learns of a leave (${kind}): ${name}`, async t => {
      const set = createSet();
      silenceLeader(set);
      disturb(set);
      set.run(leadMs);
      set.leave(set.listActive()[0]!, TOLD, kind);
      set.run(WATCH_MS);
      t.same(listLateRequests(set.record, AT_ONCE), []);
    });
  }
}

// Guards against a leave that is lost with the entry that acknowledged it.
t.test('a leave outlives the entry that was told', async t => {
  const set = createSet();
  silenceLeader(set);
  set.disturb(TOLD, 'mute', 400);
  set.run(100);
  set.leave(set.listActive()[0]!, TOLD);
  set.run(300);
  set.disturb(TOLD, 'kill', 1_000);
  set.run(WATCH_MS);
  t.same(listLateRequests(set.record, AT_ONCE), []);
});

t.test('a leave is known to an entry that starts', async t => {
  const set = createSet();
  silenceLeader(set);
  set.disturb(AFFECTED, 'kill', 1_000);
  set.run(500);
  set.leave(set.listActive()[0]!, TOLD);
  set.run(WATCH_MS);
  t.same(listLateRequests(set.record, AT_ONCE), []);
});
