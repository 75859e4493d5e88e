import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import t from 'tap';

import {createControlController, createQueryController} from '../src/index.js';
import {createEntryFixture, createUpdate} from './fixture.js';

const TICK_MS = 250;
/** A read of the configuration waits no longer for its answer. */
const READ_MS = 900;
/** The first sending, and one more after a second. */
const MAX_SENT = 2;
const SLOW_ROUND_TRIP_MS = 1_000;

t.test('a waiting read is sent again every tick', async t => {
  const fixture = createEntryFixture([
    createControlController(),
    createQueryController(),
  ]);
  fixture.receive(createUpdate(0, 1, []));
  fixture.takeSent();
  fixture.loop.post({
    kind: 'queryReceived',
    correlation: toIdentifier('r1'),
    query: {kind: 'source'},
  });
  for (let age = 0; age < 10 * READ_MS; age += TICK_MS) {
    fixture.tick(TICK_MS);
  }
  const sent = fixture
    .takeSent()
    .filter(({kind}) => kind === 'controlQueryRequest').length;
  t.ok(sent <= MAX_SENT, `${sent} requests of a document`);
});

t.test('a lost read is not sent again in time', async t => {
  const fixture = createEntryFixture([
    createControlController(),
    createQueryController(),
  ]);
  fixture.receive(createUpdate(0, 1, []));
  fixture.loop.post({
    kind: 'queryReceived',
    correlation: toIdentifier('r1'),
    query: {kind: 'source'},
  });
  fixture.takeSent();
  for (let age = TICK_MS; age < READ_MS; age += TICK_MS) {
    fixture.tick(TICK_MS);
  }
  t.same(
    fixture.takeSent().map(({kind}) => kind),
    ['controlQueryRequest'],
  );
});

t.test('a read whose reply is on a slow link is sent twice', async t => {
  const fixture = createEntryFixture([
    createControlController(),
    createQueryController(),
  ]);
  fixture.loop.post({kind: 'started'});
  fixture.tick(SLOW_ROUND_TRIP_MS);
  fixture.receive(createUpdate(0, 1, [], {sequence: 1}));
  fixture.takeSent();
  fixture.loop.post({
    kind: 'queryReceived',
    correlation: toIdentifier('r1'),
    query: {kind: 'source'},
  });
  for (let age = 0; age < 10 * READ_MS; age += TICK_MS) {
    fixture.tick(TICK_MS);
  }
  t.same(
    fixture.takeSent().map(({kind}) => kind),
    ['controlQueryRequest'],
  );
});

t.test(
  'a read waits for a tick after the entry has learnt which daemon leads',
  async t => {
    const fixture = createEntryFixture([
      createControlController(),
      createQueryController(),
    ]);
    fixture.loop.post({
      kind: 'queryReceived',
      correlation: toIdentifier('r1'),
      query: {kind: 'source'},
    });
    fixture.takeSent();
    fixture.receive({
      kind: 'notLeader',
      sequence: null,
      leader: toIdentifier<NodeId>('c1'),
    });
    const sent = fixture
      .takeSent()
      .filter(({kind}) => kind === 'controlQueryRequest');
    t.equal(sent.length, 1);
  },
);
