import t from 'tap';

import {createLargeSet, LEADER} from './largeSet.js';

const LEASE_MS = 3_000;

t.test('a set leader says why it grants nothing', async t => {
  const set = createLargeSet({
    entries: 12,
    endpoints: 6,
    concurrency: 4,
    requestsPerSecond: 30,
  });
  set.entries.find(LEADER).setControlPartitioned(true);
  set.runArrivals(LEASE_MS + 3_000);
  const held = set.grantLogs.filter(({kind}) => kind === 'grantsHeld');
  t.match(held[0], {cause: 'noLease', entries: 12});
  t.ok(held.length >= 2 && held.length <= 4, `${held.length} lines`);
  const awaited = set.grantLogs.filter(({kind}) => kind === 'grantsAwaited');
  t.match(awaited[0], {leader: LEADER, epoch: 1});
});

t.test('a set leader says that it knows no endpoint', async t => {
  const set = createLargeSet({
    entries: 12,
    endpoints: 0,
    concurrency: 4,
    requestsPerSecond: 30,
  });
  set.runArrivals(2_000);
  t.match(
    set.grantLogs.find(({kind}) => kind === 'grantsHeld'),
    {
      cause: 'noEndpoints',
      endpoints: 0,
    },
  );
});

t.test('nothing is logged of grants while a set is served', async t => {
  const set = createLargeSet({
    entries: 12,
    endpoints: 6,
    concurrency: 4,
    requestsPerSecond: 30,
  });
  set.runArrivals(4_000);
  t.strictSame(set.grantLogs, []);
});
