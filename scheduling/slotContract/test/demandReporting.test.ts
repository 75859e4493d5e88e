import {
  createConfigurationObjects,
  ENDPOINT_SET,
} from '@gentianshunt/virtualEntry';
import t from 'tap';

import {
  CONCURRENCY,
  createSimulatedRun,
  NODES,
  runArrivals,
} from './simulatedRun.js';
import type {MessageFault, SimulatedRun} from './simulatedRun.js';

const START_UP_MS = 2_500;
const SEEDS = [1, 2, 3];
const ARRIVAL_MS = 40;
const FAULT_MS = 6_000;
const RECOVERY_MS = 10_000;

function createStartedRun(seed = 1): SimulatedRun {
  const run = createSimulatedRun(seed);
  run.entries.time.advance(START_UP_MS);
  return run;
}

const isDemandReport: Parameters<typeof limitFault>[0] = kind =>
  kind === 'demandReport';
const isGrantReply: Parameters<typeof limitFault>[0] = kind =>
  kind === 'grantReply';

/** Limits a fault to the messages of some kinds; others arrive on time. */
function limitFault(
  matches: (kind: string) => boolean,
  fault: MessageFault,
): MessageFault {
  return (sent, draw) => (matches(sent.message.kind) ? fault(sent, draw) : [1]);
}

const lose: MessageFault = (_sent, draw) => (draw() < 0.5 ? [] : [1]);
const duplicate: MessageFault = (_sent, draw) => [1, 1 + 700 * draw()];
const reorder: MessageFault = (_sent, draw) => [1 + 60 * draw()];
const delay: MessageFault = (_sent, draw) => [1 + 2_600 * draw()];
const combine: MessageFault = (sent, draw) =>
  draw() < 0.3 ? [] : [...delay(sent, draw), ...reorder(sent, draw)];

const MESSAGE_FAULTS: readonly {
  readonly name: string;
  readonly fault: MessageFault;
}[] = [
  {name: 'reports lost', fault: limitFault(isDemandReport, lose)},
  {name: 'replies lost', fault: limitFault(isGrantReply, lose)},
  {name: 'reports duplicated', fault: limitFault(isDemandReport, duplicate)},
  {name: 'replies duplicated', fault: limitFault(isGrantReply, duplicate)},
  {name: 'reports reordered', fault: limitFault(isDemandReport, reorder)},
  {name: 'replies reordered', fault: limitFault(isGrantReply, reorder)},
  {name: 'reports delayed', fault: limitFault(isDemandReport, delay)},
  {name: 'replies delayed', fault: limitFault(isGrantReply, delay)},
  {name: 'all faults combined', fault: combine},
];

for (const {name, fault} of MESSAGE_FAULTS) {
  t.test(
    `no endpoint is overloaded, all requests are dispatched: ${name}`,
    async t => {
      for (const seed of SEEDS) {
        const run = createStartedRun(seed);
        run.fault = fault;
        runArrivals(run, FAULT_MS, ARRIVAL_MS);
        run.fault = () => [1];
        run.entries.time.advance(RECOVERY_MS);
        t.ok(
          run.peakRunning <= CONCURRENCY,
          `peak ${run.peakRunning}, seed ${seed}`,
        );
        t.equal(run.dispatchedAt.size, FAULT_MS / ARRIVAL_MS);
        t.same(run.dispatchedAgain, []);
      }
    },
  );
}

t.test('a frozen entry uses no slot past its deadline', async t => {
  const run = createStartedRun();
  runArrivals(run, 1_000, ARRIVAL_MS);
  const frozen = run.entries.find(NODES[1]);
  frozen.freeze();
  runArrivals(run, 5_000, ARRIVAL_MS);
  frozen.resume();
  run.entries.time.advance(RECOVERY_MS);
  t.ok(run.peakRunning <= CONCURRENCY, `peak ${run.peakRunning}`);
});

t.test('a leader without a lease grants nothing', async t => {
  const run = createStartedRun();
  run.entries.find(NODES[0]).setControlPartitioned(true);
  run.entries.time.advance(3_500);
  const before = run.dispatchedAt.size;
  run.addArrival(NODES[1]);
  run.entries.time.advance(1_000);
  t.equal(run.dispatchedAt.size, before);
});

function changeLeader(run: SimulatedRun): void {
  const objects = createConfigurationObjects({
    organisations: 2,
    leader: NODES[1],
  });
  run.entries.publish(
    objects.map(object =>
      object.kind === 'setLeadership' ? {...object, epoch: 2} : object,
    ),
    [NODES[1], NODES[2]],
  );
}

t.test(
  'a new leader waits for old slots to expire; reports stay few',
  async t => {
    const run = createStartedRun();
    runArrivals(run, 1_000, ARRIVAL_MS);
    const old = run.entries.find(NODES[0]);
    old.setControlPartitioned(true);
    old.freeze();
    run.entries.time.advance(3_100);
    changeLeader(run);
    const changedAt = run.entries.time.clock.readMonotonic();
    run.sent.length = 0;
    for (let index = 0; index < 30; index += 1) {
      run.addArrival(NODES[1 + (index % 2)]!);
      run.entries.time.advance(100);
    }
    old.resume();
    run.entries.time.advance(RECOVERY_MS);
    const granted = [...run.dispatchedAt.values()].filter(at => at > changedAt);
    const waited = Math.min(...granted) - changedAt;
    t.ok(waited >= 2_000 && waited < 2_800, `waited ${waited} ms`);
    t.ok(run.peakRunning <= CONCURRENCY, `peak ${run.peakRunning}`);
    const reports = run.sent.filter(sent => isDemandReport(sent.message.kind));
    t.ok(reports.length < 150, `${reports.length} reports`);
    t.equal(run.entries.find(NODES[0]).entry.view.leaderships.size, 1);
  },
);

t.test('entries back off while their leader does not answer', async t => {
  const run = createStartedRun();
  run.fault = () => [];
  run.sent.length = 0;
  runArrivals(run, 10_000, ARRIVAL_MS);
  const reports = run.sent.filter(
    sent => isDemandReport(sent.message.kind) && sent.from === NODES[1],
  );
  t.ok(reports.length <= 12, `${reports.length} reports in 10 s`);
});

t.test('a refused demand report is not resent at once', async t => {
  const run = createStartedRun();
  run.fault = limitFault(isDemandReport, () => []);
  run.sent.length = 0;
  run.addArrival(NODES[1]);
  for (let elapsed = 0; elapsed < 5_000; elapsed += 5) {
    const sequence = run.entries
      .find(NODES[1])
      .entry.view.demandReporting.get(ENDPOINT_SET as never)!.sequence;
    run.entries.find(NODES[1]).post({
      kind: 'entryMessage',
      from: NODES[0] as never,
      message: {
        kind: 'notSetLeader',
        set: ENDPOINT_SET as never,
        epoch: 0,
        sequence,
      },
    });
    run.entries.time.advance(5);
  }
  const reports = run.sent.filter(sent => isDemandReport(sent.message.kind));
  t.ok(reports.length <= 8, `${reports.length} reports in 5 s`);
});
