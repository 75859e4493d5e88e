import t from 'tap';

import {findObject, listQuotaSets} from '@gentianshunt/configuration';
import type {ConfigurationObject} from '@gentianshunt/configuration';
import {MAX_ENTRY_LEASE_MS} from '@gentianshunt/entrySessions';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {RegionId} from '@gentianshunt/identifiers';

import {
  createCommand,
  createCommandRequest,
  createControlFixture,
  createHeartbeat,
  createSetCommand,
} from './fixture.js';
import type {ControlFixture} from './fixture.js';

function createRegionHeartbeat(node: string, region: string, draining = false) {
  const heartbeat = createHeartbeat(node, {draining});
  const entry = {...heartbeat.entry, region: toIdentifier<RegionId>(region)};
  return {...heartbeat, entry};
}

function readLeader(fixture: ControlFixture, set: string) {
  const {configuration} = fixture.node.view;
  return findObject(configuration, 'setLeadership', set);
}

function createFixture(sets: readonly (readonly [string, string])[]) {
  const fixture = createControlFixture();
  const commands = sets.map(([id, region]) => createSetCommand(id, region));
  fixture.receive('entry-0', createCommandRequest(createCommand(1, commands)));
  return fixture;
}

t.test('sets are distributed over the entries of their region', async t => {
  const fixture = createFixture([
    ['a', 'north'],
    ['b', 'north'],
    ['c', 'south'],
    ['d', 'east'],
  ]);
  fixture.receive('n1', createRegionHeartbeat('n1', 'north'));
  fixture.receive('n2', createRegionHeartbeat('n2', 'north'));
  fixture.receive('s1', createRegionHeartbeat('s1', 'south'));
  fixture.advance(1);
  const north = ['a', 'b'].map(set => readLeader(fixture, set)?.node).sort();
  t.strictSame(north, ['n1', 'n2']);
  t.equal(readLeader(fixture, 'c')?.node, 's1');
  t.ok(
    readLeader(fixture, 'd'),
    'a region without entries gets a leader from another',
  );
  const entries = fixture.node.view.log.size;
  fixture.advance(1);
  t.equal(fixture.node.view.log.size, entries, 'nothing is proposed twice');
});

/** Sends a command that puts new objects. */
function receiveObjects(
  fixture: ControlFixture,
  objects: readonly ConfigurationObject[],
): void {
  const commands = objects.map(object => ({
    kind: 'put' as const,
    object,
    expectedRevision: null,
  }));
  fixture.receive('entry-0', createCommandRequest(createCommand(2, commands)));
}

/** Sends heartbeats of entries on VMs of different processor shares. */
function receiveEntries(
  fixture: ControlFixture,
  cores: Readonly<Record<string, number>>,
): void {
  for (const [node, share] of Object.entries(cores)) {
    const heartbeat = createRegionHeartbeat(node, 'north');
    const entry = {...heartbeat.entry, cores: share};
    fixture.receive(node, {...heartbeat, entry});
  }
}

t.test('no set is led from a VM with little processor time', async t => {
  const fixture = createFixture([
    ['a', 'north'],
    ['b', 'north'],
  ]);
  receiveEntries(fixture, {n1: 0.3, n2: 0.3, n3: 0.9, n4: 0.9});
  fixture.advance(1);
  const leaders = ['a', 'b'].map(set => readLeader(fixture, set)?.node).sort();
  t.strictSame(leaders, ['n3', 'n4']);
});

t.test('no set is led beside the control leader if another VM can', async t => {
  const fixture = createFixture([['a', 'north']]);
  const {node: self} = fixture.node.view.identity;
  receiveEntries(fixture, {[self]: 0.9, n1: 0.3, n2: 0.9});
  fixture.advance(1);
  t.equal(readLeader(fixture, 'a')?.node, 'n2');
});

t.test('quota sets are led by entries that lead no endpoint set', async t => {
  const fixture = createFixture([['a', 'north']]);
  const {node: self} = fixture.node.view.identity;
  const quotaSets = listQuotaSets(toIdentifier('north'));
  receiveObjects(fixture, quotaSets);
  receiveEntries(fixture, {[self]: 0.9, n1: 0.9, n2: 0.3, n3: 0.3, n4: 0.3});
  fixture.advance(1);
  t.equal(readLeader(fixture, 'a')?.node, 'n1');
  const owners = quotaSets.map(({id}) => readLeader(fixture, id)?.node);
  const counts = ['n2', 'n3', 'n4'].map(
    node => owners.filter(owner => owner === node).length,
  );
  t.equal(counts[0]! + counts[1]! + counts[2]!, quotaSets.length);
  t.ok(Math.min(...counts) >= 4, `${counts.join(', ')} quota sets`);
});

t.test('a lone entry leads all sets', async t => {
  const fixture = createFixture([['a', 'north']]);
  const quotaSets = listQuotaSets(toIdentifier('north'));
  receiveObjects(fixture, quotaSets);
  receiveEntries(fixture, {n1: 0.9});
  fixture.advance(1);
  const owners = new Set(
    quotaSets.map(({id}) => readLeader(fixture, id)?.node),
  );
  t.same([...owners], ['n1']);
});

t.test('sets of a draining entry get a leader of a higher epoch', async t => {
  const fixture = createFixture([['a', 'north']]);
  fixture.receive('n1', createRegionHeartbeat('n1', 'north'));
  fixture.advance(1);
  const first = readLeader(fixture, 'a')!;
  fixture.receive('n2', createRegionHeartbeat('n2', 'north'));
  fixture.receive('n1', createRegionHeartbeat('n1', 'north', true));
  fixture.advance(1);
  const second = readLeader(fixture, 'a')!;
  t.strictSame([first.node, second.node], ['n1', 'n2']);
  t.ok(second.epoch > first.epoch);
});

t.test('a new control leader waits before replacing set leaders', async t => {
  const before = createFixture([['a', 'north']]);
  before.receive('n1', createRegionHeartbeat('n1', 'north'));
  before.advance(1);
  const after = createControlFixture(before.readStored());
  after.receive('n2', createRegionHeartbeat('n2', 'north'));
  after.advance(1);
  t.equal(readLeader(after, 'a')?.node, 'n1', 'n1 may still hold its lease');
  after.advance(MAX_ENTRY_LEASE_MS - 2);
  after.receive('n2', createRegionHeartbeat('n2', 'north'));
  after.advance(1);
  // The first session check unassigns the leader, the second assigns another.
  after.advance(1);
  t.equal(readLeader(after, 'a')?.node, 'n2');
});

t.test('a set can be deleted unless it has endpoints', async t => {
  const cases = [
    {name: 'no endpoints', setsInUse: [], kind: 'accepted'},
    {name: 'endpoints', setsInUse: ['a'], kind: 'refused'},
  ];
  for (const {name, setsInUse, kind} of cases) {
    const fixture = createFixture([['a', 'north']]);
    fixture.receive(
      'n1',
      createHeartbeat('n1', {
        setsInUse: setsInUse.map(id => toIdentifier(id)),
      }),
    );
    fixture.advance(1);
    t.ok(readLeader(fixture, 'a'), name);
    const [reply] = fixture.ask(
      'n1',
      createCommandRequest(
        createCommand(2, [
          {
            kind: 'delete',
            key: toIdentifier('endpointSet/a'),
            expectedRevision: null,
          },
        ]),
      ),
    );
    t.match(reply, {answer: {kind: 'applied', result: {kind}}}, name);
    t.equal(fixture.node.view.configuration.size === 0, kind === 'accepted');
  }
});
