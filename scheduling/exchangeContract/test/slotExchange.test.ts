import {createBenchObjects, SET} from '@gentianshunt/virtualEntry';
import t from 'tap';

import {CONCURRENCY, createRun, NODES, runArrivals} from './exchangeRun.js';
import type {ExchangeRun, MessageFault} from './exchangeRun.js';

const START_UP_MS = 2_500;
const SEEDS = [1, 2, 3];
const ARRIVAL_MS = 40;
const FAULT_MS = 6_000;
const RECOVERY_MS = 10_000;

function createStartedRun(seed = 1): ExchangeRun {
  const run = createRun(seed);
  run.entries.time.advance(START_UP_MS);
  return run;
}

const isReport: Parameters<typeof only>[0] = kind => kind === 'demandReport';
const isReply: Parameters<typeof only>[0] = kind => kind === 'grantReply';

function only(
  fits: (kind: string) => boolean,
  fault: MessageFault,
): MessageFault {
  return (sent, draw) => (fits(sent.message.kind) ? fault(sent, draw) : [1]);
}

const lose: MessageFault = (_sent, draw) => (draw() < 0.5 ? [] : [1]);
const duplicate: MessageFault = (_sent, draw) => [1, 1 + 700 * draw()];
const reorder: MessageFault = (_sent, draw) => [1 + 60 * draw()];
const delay: MessageFault = (_sent, draw) => [1 + 2_600 * draw()];
const all: MessageFault = (sent, draw) =>
  draw() < 0.3 ? [] : [...delay(sent, draw), ...reorder(sent, draw)];

const MESSAGE_FAULTS: readonly {
  readonly name: string;
  readonly fault: MessageFault;
}[] = [
  {name: 'reports lost', fault: only(isReport, lose)},
  {name: 'replies lost', fault: only(isReply, lose)},
  {name: 'reports duplicated', fault: only(isReport, duplicate)},
  {name: 'replies duplicated', fault: only(isReply, duplicate)},
  {name: 'reports reordered', fault: only(isReport, reorder)},
  {name: 'replies reordered', fault: only(isReply, reorder)},
  {name: 'reports delayed', fault: only(isReport, delay)},
  {name: 'replies delayed', fault: only(isReply, delay)},
  {name: 'everything at once', fault: all},
];

for (const {name, fault} of MESSAGE_FAULTS) {
  t.test(
    `no endpoint is overfilled and all is dispatched: ${name}`,
    async t => {
      for (const seed of SEEDS) {
        const run = createStartedRun(seed);
        run.fault = fault;
        runArrivals(run, FAULT_MS, ARRIVAL_MS);
        run.fault = () => [1];
        run.entries.time.advance(RECOVERY_MS);
        t.ok(run.peak <= CONCURRENCY, `peak ${run.peak}, seed ${seed}`);
        t.equal(run.dispatchedAt.size, FAULT_MS / ARRIVAL_MS);
        t.same(run.repeated, []);
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
  t.ok(run.peak <= CONCURRENCY, `peak ${run.peak}`);
});

t.test('a leader without a lease grants nothing', async t => {
  const run = createStartedRun();
  run.entries.find(NODES[0]).setControlCut(true);
  run.entries.time.advance(3_500);
  const before = run.dispatchedAt.size;
  run.arrive(NODES[1]);
  run.entries.time.advance(1_000);
  t.equal(run.dispatchedAt.size, before);
});

function changeLeader(run: ExchangeRun): void {
  const objects = createBenchObjects({organisations: 2, leader: NODES[1]});
  run.entries.publish(
    objects.map(object =>
      object.kind === 'setLeadership' ? {...object, epoch: 2} : object,
    ),
    [NODES[1], NODES[2]],
  );
}

t.test('a new leader waits out old slots, without a storm', async t => {
  const run = createStartedRun();
  runArrivals(run, 1_000, ARRIVAL_MS);
  const old = run.entries.find(NODES[0]);
  old.setControlCut(true);
  old.freeze();
  run.entries.time.advance(3_100);
  changeLeader(run);
  const changedAt = run.entries.time.clock.readMonotonic();
  run.sent.length = 0;
  for (let index = 0; index < 30; index += 1) {
    run.arrive(NODES[1 + (index % 2)]!);
    run.entries.time.advance(100);
  }
  old.resume();
  run.entries.time.advance(RECOVERY_MS);
  const granted = [...run.dispatchedAt.values()].filter(at => at > changedAt);
  const waited = Math.min(...granted) - changedAt;
  t.ok(waited >= 2_000 && waited < 2_800, `waited ${waited} ms`);
  t.ok(run.peak <= CONCURRENCY, `peak ${run.peak}`);
  const reports = run.sent.filter(sent => isReport(sent.message.kind));
  t.ok(reports.length < 150, `${reports.length} reports`);
  t.equal(run.entries.find(NODES[0]).entry.view.leaderships.size, 1);
});

t.test('entries back off from a leader that does not answer', async t => {
  const run = createStartedRun();
  run.fault = () => [];
  run.sent.length = 0;
  runArrivals(run, 10_000, ARRIVAL_MS);
  const reports = run.sent.filter(
    sent => isReport(sent.message.kind) && sent.from === NODES[1],
  );
  t.ok(reports.length <= 12, `${reports.length} reports in 10 s`);
});

t.test('a refused report is not repeated at once', async t => {
  const run = createStartedRun();
  run.fault = only(isReport, () => []);
  run.sent.length = 0;
  run.arrive(NODES[1]);
  for (let elapsed = 0; elapsed < 5_000; elapsed += 5) {
    const sequence = run.entries
      .find(NODES[1])
      .entry.view.exchanges.get(SET as never)!.sequence;
    run.entries.find(NODES[1]).post({
      kind: 'entryMessage',
      from: NODES[0] as never,
      message: {kind: 'notSetLeader', set: SET as never, epoch: 0, sequence},
    });
    run.entries.time.advance(5);
  }
  const reports = run.sent.filter(sent => isReport(sent.message.kind));
  t.ok(reports.length <= 8, `${reports.length} reports in 5 s`);
});
