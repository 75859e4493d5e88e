import {createContact, SET} from '@gentianshunt/virtualEntry';
import t from 'tap';

import {createRun, NODES, runArrivals} from './exchangeRun.js';
import type {ExchangeRun, MessageFault} from './exchangeRun.js';

const START_UP_MS = 3_000;
const LEAVE_BOUND_MS = 3_000;
const ARRIVAL_MS = 10;
const LEAVING = 'engine-0';

const onTime: MessageFault = () => [1];
const lateReplies: MessageFault = (sent, draw) =>
  sent.message.kind === 'grantReply' ? [1 + 240 * draw()] : [1];

function createStartedRun(): ExchangeRun {
  const run = createRun(5);
  run.entries.time.advance(START_UP_MS);
  runArrivals(run, 2_000, ARRIVAL_MS);
  return run;
}

/** Lets an endpoint say through a follower that it leaves. */
function leave(run: ExchangeRun): number {
  run.setAnnouncing(false);
  run.entries.find(NODES[1]).post(createContact({index: 0, leaving: true}));
  return run.entries.time.clock.readMonotonic();
}

function listWorkAfter(run: ExchangeRun, instant: number): readonly string[] {
  return run.placed
    .filter(({endpoint, at}) => endpoint === LEAVING && at > instant)
    .map(({request}) => request);
}

for (const {name, fault, frozen} of [
  {name: 'undisturbed', fault: onTime, frozen: false},
  {name: 'replies late', fault: lateReplies, frozen: false},
  {name: 'an entry frozen', fault: onTime, frozen: true},
]) {
  t.test(`a leaving endpoint gets no new work after 3 s: ${name}`, async t => {
    const run = createStartedRun();
    run.fault = fault;
    const leftAt = leave(run);
    const entry = run.entries.find(NODES[2]);
    if (frozen) {
      entry.freeze();
    }
    runArrivals(run, LEAVE_BOUND_MS + 500, ARRIVAL_MS);
    entry.resume();
    runArrivals(run, 2_000, ARRIVAL_MS);
    t.same(listWorkAfter(run, leftAt + LEAVE_BOUND_MS), []);
  });
}

t.test('a silent endpoint gets no new work after its lease', async t => {
  const run = createStartedRun();
  run.setAnnouncing(false);
  const silentAt = run.entries.time.clock.readMonotonic();
  runArrivals(run, 8_000, ARRIVAL_MS);
  t.same(listWorkAfter(run, silentAt + 5_500), []);
});

t.test('announcements of an earlier incarnation are dropped', async t => {
  const run = createStartedRun();
  run.setAnnouncing(false);
  const leader = run.entries.find(NODES[0]);
  leader.post(createContact({index: 0, incarnation: 'start-2'}));
  leader.post(createContact({index: 0, incarnation: 'start-1', leaving: true}));
  const key = {set: SET as never, endpoint: LEAVING as never};
  const record = leader.entry.view.endpoints.get(key)!;
  t.equal(record.announcement.incarnation, 'start-2');
  t.equal(record.state, 'active');
});

t.test('a late announcement does not undo a leave', async t => {
  const run = createStartedRun();
  run.setAnnouncing(false);
  const leader = run.entries.find(NODES[0]);
  leader.post(createContact({index: 0, leaving: true}));
  leader.post(createContact({index: 0}));
  const key = {set: SET as never, endpoint: LEAVING as never};
  t.equal(leader.entry.view.endpoints.get(key)!.state, 'leaving');
});
