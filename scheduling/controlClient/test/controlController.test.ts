import t from 'tap';

import {ENDED_LEASE} from '@gentianshunt/clock';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {DirectoryEntry} from '@gentianshunt/messages';

import {applyDirectoryUpdate, createControlController} from '../src/index.js';
import {createEntryFixture, createTier, createUpdate} from './fixture.js';

const GOLD = createTier('gold');
const SILVER = createTier('silver', 2);

t.test('the version only rises, and deltas must not leave gaps', async t => {
  const cases = [
    {
      name: 'the next delta',
      update: createUpdate(5, 8, [SILVER]),
      version: 8,
    },
    {
      name: 'an overlapping delta',
      update: createUpdate(3, 8, [GOLD, SILVER]),
      version: 8,
    },
    {
      name: 'a delta after a gap',
      update: createUpdate(6, 8, [SILVER]),
      version: 5,
    },
    {
      name: 'an older version',
      update: createUpdate(0, 4, [SILVER]),
      version: 5,
    },
    {
      name: 'the same version',
      update: createUpdate(0, 5, [SILVER]),
      version: 5,
    },
    {name: 'a replacement', update: createUpdate(0, 9, [SILVER]), version: 9},
  ];
  for (const {name, update, version} of cases) {
    const fixture = createEntryFixture([createControlController()]);
    fixture.receive(createUpdate(0, 5, [GOLD]));
    fixture.takeSent();
    fixture.receive(update);
    t.equal(fixture.loop.view.control.version, version, name);
    const isApplied = version > 5;
    t.equal(
      fixture.loop.view.configuration.has(toIdentifier('tier/silver')),
      isApplied,
      name,
    );
    const confirmed = fixture
      .takeSent()
      .filter(message => message.kind === 'versionConfirmed');
    t.match(confirmed, isApplied ? [{version}] : [], name);
    t.equal(confirmed.length, isApplied ? 1 : 0, name);
  }
});

t.test('only the reply to a heartbeat renews the lease', async t => {
  const fixture = createEntryFixture([createControlController()]);
  fixture.loop.post({kind: 'started'});
  fixture.clock.advance(100);
  const push = createUpdate(0, 5, [GOLD]);
  fixture.receive(push);
  t.equal(fixture.loop.view.control.lease, ENDED_LEASE);
  fixture.receive(createUpdate(5, 5, [], {sequence: 1}));
  t.equal(
    fixture.loop.view.control.lease.until,
    3_000,
    'counted from the sending of the heartbeat',
  );
});

t.test('the directory applies only updates that fit its version', async t => {
  const createEntry = (node: string): DirectoryEntry => ({
    draining: false,
    address: {
      node: toIdentifier(node),
      region: toIdentifier('local'),
      domain: toIdentifier('d'),
      peer: {host: '127.0.0.1', port: 1},
      http: {host: '127.0.0.1', port: 2},
    },
  });
  const current = {
    version: {term: 2, number: 3, digest: 0},
    entries: [createEntry('a')],
  };
  const put = {kind: 'put', entry: createEntry('b')} as const;
  const remove = {kind: 'remove', node: toIdentifier<never>('a')} as const;
  const createDelta = (term: number, number: number) =>
    ({
      kind: 'delta',
      from: {term, number, digest: 0},
      version: {term, number: number + 2, digest: 0},
      changes: [put, remove],
    }) as const;
  const createReplacement = (term: number, number: number) =>
    ({
      kind: 'replace',
      directory: {
        version: {term, number, digest: 0},
        entries: [createEntry('c')],
      },
    }) as const;
  const cases = [
    {name: 'a delta', update: createDelta(2, 3), nodes: ['b']},
    {
      name: 'a delta of another version',
      update: createDelta(2, 2),
      nodes: ['a'],
    },
    {name: 'a delta of another term', update: createDelta(3, 3), nodes: ['a']},
    {name: 'a later term', update: createReplacement(3, 1), nodes: ['c']},
    {name: 'an earlier term', update: createReplacement(1, 9), nodes: ['a']},
    {name: 'no update', update: null, nodes: ['a']},
  ];
  for (const {name, update, nodes} of cases) {
    const next = applyDirectoryUpdate(current, update);
    t.strictSame(
      next.entries.map(({address}) => address.node),
      nodes,
      name,
    );
  }
});
