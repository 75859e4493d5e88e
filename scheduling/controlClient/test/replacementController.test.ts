import t from 'tap';

import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';

import {
  createControlController,
  createReplacementController,
  REPLACEMENT_TIMEOUT_MS,
} from '../src/index.js';
import {createEntryFixture, createUpdate} from './fixture.js';
import type {EntryFixture} from './fixture.js';

const TICK_MS = 250;
/** How long an operator waits for a response. */
const OPERATOR_TRY_MS = 1_000;
const SLOW_ROUND_TRIP_MS = 1_250;
const LARGE_BYTES = 4_000_000;
const LARGE_TRANSFER_MS = 4_000;

function createFixture(): EntryFixture {
  const fixture = createEntryFixture([
    createControlController(),
    createReplacementController(),
  ]);
  fixture.receive(createUpdate(0, 1, []));
  fixture.takeSent();
  return fixture;
}

function postReplacement({loop}: EntryFixture, bytes = 0): void {
  loop.post({
    kind: 'replacementReceived',
    correlation: toIdentifier('r1'),
    replacement: {version: 7, objects: [], source: new Uint8Array(bytes)},
  });
}

function isWaiting({loop}: EntryFixture): boolean {
  return loop.view.replacements.size > 0;
}

function countReplacements(fixture: EntryFixture): number {
  return fixture.takeSent().filter(({kind}) => kind === 'replacementRequest')
    .length;
}

t.test('a waiting document is not sent again every tick', async t => {
  const fixture = createFixture();
  postReplacement(fixture);
  t.equal(countReplacements(fixture), 1);
  const resentAt: number[] = [];
  for (let age = TICK_MS; age < REPLACEMENT_TIMEOUT_MS; age += TICK_MS) {
    fixture.tick(TICK_MS);
    if (countReplacements(fixture) > 0) {
      resentAt.push(age);
    }
  }
  t.same(resentAt, [500, 1_500], 'sent again after a backoff');
});

t.test(
  'a change whose first sending was lost is not sent again only after its operator has left',
  async t => {
    const fixture = createFixture();
    postReplacement(fixture);
    t.equal(countReplacements(fixture), 1);
    let age = 0;
    while (countReplacements(fixture) === 0) {
      fixture.tick(TICK_MS);
      age += TICK_MS;
    }
    t.ok(age <= OPERATOR_TRY_MS / 2, `${age} ms`);
  },
);

t.test('a waiting document is sent to a new leader at once', async t => {
  const fixture = createFixture();
  postReplacement(fixture);
  t.equal(countReplacements(fixture), 1);
  fixture.receive({
    kind: 'notLeader',
    sequence: null,
    leader: toIdentifier<NodeId>('c1'),
  });
  t.equal(countReplacements(fixture), 1);
  fixture.tick(TICK_MS);
  t.equal(countReplacements(fixture), 0);
});

t.test('a large document is not sent again while it is on its way', async t => {
  const fixture = createFixture();
  postReplacement(fixture, LARGE_BYTES);
  for (let age = 0; age < LARGE_TRANSFER_MS; age += TICK_MS) {
    fixture.tick(TICK_MS);
  }
  t.equal(countReplacements(fixture), 1);
  t.ok(isWaiting(fixture), 'the operator still waits');
  fixture.tick(REPLACEMENT_TIMEOUT_MS);
  t.notOk(isWaiting(fixture), 'and gets an answer');
});

t.test('a document on a slow link is sent again before its reply', async t => {
  const fixture = createFixture();
  fixture.loop.post({kind: 'started'});
  fixture.tick(SLOW_ROUND_TRIP_MS);
  fixture.receive(createUpdate(1, 1, [], {sequence: 1}));
  postReplacement(fixture);
  for (let age = 0; age < SLOW_ROUND_TRIP_MS; age += TICK_MS) {
    fixture.tick(TICK_MS);
  }
  t.equal(countReplacements(fixture), 1);
});
