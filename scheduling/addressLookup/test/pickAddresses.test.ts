import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId, RegionId} from '@gentianshunt/identifiers';
import type {DirectoryEntry} from '@gentianshunt/messages';
import t from 'tap';

import {
  LOAD_BOUND,
  MAX_ENTRIES_PER_SET,
  pickAddresses,
  pickNearEntries,
} from '../src/index.js';

const DOMAINS = ['a', 'b', 'c'];
const LOOKUPS = 3_000;

function createEntries(count: number): readonly DirectoryEntry[] {
  return Array.from({length: count}, (_, index) => ({
    address: {
      node: toIdentifier<NodeId>(`entry-${index}`),
      region: toIdentifier('r'),
      domain: toIdentifier(DOMAINS[index % DOMAINS.length]!),
      peer: {host: '10.0.0.1', port: 1},
      http: {host: '10.0.0.1', port: 2},
    },
    draining: false,
  }));
}

function select(
  entries: readonly DirectoryEntry[],
  organisation: string,
  assignedCounts: ReadonlyMap<NodeId, number> = new Map(),
): readonly DirectoryEntry[] {
  return pickAddresses({
    entries,
    organisation: toIdentifier(organisation),
    set: toIdentifier('drafts'),
    assignedCounts,
  });
}

t.test('addresses lie in different failure domains', async t => {
  const selected = select(createEntries(12), 'o1');
  t.equal(selected.length, 3);
  t.equal(new Set(selected.map(entry => entry.address.domain)).size, 3);
});

t.test('the order of the directory does not change the addresses', async t => {
  const entries = createEntries(12);
  t.same(select(entries, 'o1'), select([...entries].reverse(), 'o1'));
});

t.test('draining entries are left out', async t => {
  const entries = createEntries(12);
  const first = select(entries, 'o1')[0]!;
  const changed = entries.map(entry =>
    entry === first ? {...entry, draining: true} : entry,
  );
  const nodes = select(changed, 'o1').map(entry => entry.address.node);
  t.notOk(nodes.includes(first.address.node));
});

t.test('without entries there are no addresses', async t => {
  t.same(select([], 'o1'), []);
});

t.test('a failed entry moves only its own callers', async t => {
  const entries = createEntries(12);
  const failed = entries[3]!;
  const remaining = entries.filter(entry => entry !== failed);
  const organisations = Array.from({length: 500}, (_, index) => `o${index}`);
  const moved = organisations.filter(organisation => {
    const before = select(entries, organisation)[0]!;
    return before !== failed && select(remaining, organisation)[0] !== before;
  });
  t.same(moved, []);
});

for (const {name, organisations} of [
  {name: 'one large organisation', organisations: 1},
  {name: 'a few large organisations', organisations: 5},
  {name: 'many small organisations', organisations: 1_000},
]) {
  t.test(`load is bounded: ${name}`, async t => {
    const entries = createEntries(100);
    const assignedCounts = new Map<NodeId, number>();
    for (let index = 0; index < LOOKUPS; index += 1) {
      const organisation = `o${index % organisations}`;
      const {node} = select(entries, organisation, assignedCounts)[0]!.address;
      assignedCounts.set(node, (assignedCounts.get(node) ?? 0) + 1);
    }
    const bound = Math.ceil((LOAD_BOUND * LOOKUPS) / MAX_ENTRIES_PER_SET);
    t.ok(Math.max(...assignedCounts.values()) <= bound);
    t.ok(assignedCounts.size <= MAX_ENTRIES_PER_SET);
  });
}

/** Marks entries as cut off from all endpoints. */
function isolate(
  entries: readonly DirectoryEntry[],
  isCutOff: (entry: DirectoryEntry) => boolean,
): readonly DirectoryEntry[] {
  return entries.map(entry =>
    isCutOff(entry) ? {...entry, isIsolated: true} : entry,
  );
}

function pickNear(
  entries: readonly DirectoryEntry[],
  domain: string,
): readonly string[] {
  const region = toIdentifier<RegionId>('r');
  const near = pickNearEntries({entries, region, domain: toIdentifier(domain)});
  return near.map(({address}) => address.node);
}

t.test('callers are given entries that reach no endpoint', async t => {
  const entries = isolate(createEntries(12), ({address}) =>
    ['entry-0', 'entry-3'].includes(address.node),
  );
  t.same(pickNear(entries, 'a'), ['entry-6', 'entry-9']);
  const zone = isolate(
    createEntries(12),
    ({address: {domain}}) => domain === 'a',
  );
  t.equal(pickNear(zone, 'a').length, 8, 'callers of a zone get other zones');
  t.equal(select(zone, 'o1').length, 3);
});

t.test('lookups are empty because no entry reaches an endpoint', async t => {
  const entries = isolate(createEntries(12), () => true);
  t.equal(pickNear(entries, 'a').length, 4);
  t.equal(select(entries, 'o1').length, 3);
});
