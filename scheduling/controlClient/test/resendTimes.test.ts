import t from 'tap';

import {toIdentifier} from '@gentianshunt/identifiers';
import type {IncarnationId} from '@gentianshunt/identifiers';

import {
  createControlController,
  createQueryController,
  createReplacementController,
  REPLACEMENT_TIMEOUT_MS,
} from '../src/index.js';
import {createEntryFixture, createUpdate} from './fixture.js';
import type {EntryFixture} from './fixture.js';

const TICK_MS = 250;
const RESEND_MS = 1_000;
const READ_MS = 900;
const ELECTION_MS = 2_500;
const LEASE_MS = 3_000;

function createFixture(): EntryFixture {
  const fixture = createEntryFixture([
    createControlController(),
    createQueryController(),
    createReplacementController(),
  ]);
  fixture.loop.post({kind: 'started'});
  return fixture;
}

/** Lets the first heartbeat wait at a daemon until it is confirmed to lead. */
function awaitElection(fixture: EntryFixture): void {
  fixture.receive({
    kind: 'leaderUnconfirmed',
    incarnation: toIdentifier<IncarnationId>('i1'),
    sequence: 1,
    reason: 'ownEntryNotApplied',
  });
  fixture.tick(ELECTION_MS);
  fixture.receive(createUpdate(0, 1, [], {sequence: 1}));
  fixture.takeSent();
}

function countSent(
  fixture: EntryFixture,
  kind: string,
  durationMs: number,
): number {
  for (let age = 0; age < durationMs; age += TICK_MS) {
    fixture.tick(TICK_MS);
  }
  return fixture.takeSent().filter(sent => sent.kind === kind).length;
}

function postReplacement(fixture: EntryFixture): void {
  fixture.loop.post({
    kind: 'replacementReceived',
    correlation: toIdentifier('r1'),
    replacement: {
      version: 4,
      source: new Uint8Array(),
      objects: [],
    },
  });
}

// Guards against a wait for the election that counts as a round trip.
t.test('a lost document is sent again in time after an election', t => {
  const fixture = createFixture();
  awaitElection(fixture);
  postReplacement(fixture);
  t.equal(countSent(fixture, 'replacementRequest', RESEND_MS), 2);
  t.end();
});

t.test('a lost read is sent again in time after an election', t => {
  const fixture = createFixture();
  awaitElection(fixture);
  fixture.loop.post({
    kind: 'queryReceived',
    correlation: toIdentifier('r1'),
    query: {kind: 'source'},
  });
  t.equal(countSent(fixture, 'controlQueryRequest', READ_MS), 2);
  t.end();
});

t.test('a lost document is sent again before nobody waits for it', t => {
  const fixture = createFixture();
  fixture.tick(LEASE_MS);
  fixture.receive(createUpdate(0, 1, [], {sequence: 1}));
  fixture.takeSent();
  postReplacement(fixture);
  const sent = countSent(
    fixture,
    'replacementRequest',
    REPLACEMENT_TIMEOUT_MS - TICK_MS,
  );
  t.equal(sent, 2);
  t.end();
});
