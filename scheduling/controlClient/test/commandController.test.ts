import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import t from 'tap';

import {
  COMMAND_TIMEOUT_MS,
  createCommandController,
  createControlController,
} from '../src/index.js';
import {createEntryFixture, createUpdate} from './fixture.js';
import type {EntryFixture} from './fixture.js';

const TICK_MS = 250;
/** The first sending, and after 1, 3 and 7 s. */
const MAX_SENT = 4;

function createFixture(): EntryFixture {
  const fixture = createEntryFixture([
    createControlController(),
    createCommandController(),
  ]);
  fixture.receive(createUpdate(0, 1, []));
  fixture.takeSent();
  fixture.loop.post({
    kind: 'commandReceived',
    correlation: toIdentifier('r1'),
    operator: toIdentifier('o1'),
    command: {
      number: 1,
      operator: toIdentifier('o1'),
      digest: '',
      commands: [],
    },
  });
  return fixture;
}

function countCommands(fixture: EntryFixture): number {
  return fixture.takeSent().filter(({kind}) => kind === 'commandRequest')
    .length;
}

t.test('a waiting batch is sent again every tick', async t => {
  const fixture = createFixture();
  for (let age = 0; age < COMMAND_TIMEOUT_MS; age += TICK_MS) {
    fixture.tick(TICK_MS);
  }
  const sent = countCommands(fixture);
  t.ok(sent > 1 && sent <= MAX_SENT, `${sent} requests`);
});

t.test('a new leader waits for a batch', async t => {
  const fixture = createFixture();
  t.equal(countCommands(fixture), 1);
  const leader = toIdentifier<NodeId>('c1');
  fixture.receive({kind: 'notLeader', sequence: null, leader});
  fixture.tick(TICK_MS);
  t.equal(countCommands(fixture), 1);
});
