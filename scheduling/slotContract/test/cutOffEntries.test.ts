import {hashToFraction} from '@gentianshunt/hashing';
import t from 'tap';

import {createCutOffSet} from './cutOffSet.js';
import type {
  CallerCounts,
  CutOffOptions,
  CutOffSet,
  Path,
} from './cutOffSet.js';

const ENTRIES = 8;
const ENDPOINTS = 6;
const BEFORE_MS = 1_000;
/** Time after a cut within which all conclusions are drawn (`contact_ms`). */
const CONTACT_MS = 3_000;
const MEASURED_MS = 4_000;
/** The requests that were sent before end within this time. */
const SETTLING_MS = 1_000;
/** A cut-off entry serves at least this much of what the others do. */
const MIN_RELATIVE_SERVICE = 2 / 3;
const MIN_SERVICE = 0.95;
const WAYS: readonly Path[] = ['hangs', 'refuses', 'resets'];

function measureService(counts: readonly CallerCounts[]): number {
  const asked = counts.reduce((sum, each) => sum + each.asked, 0);
  const served = counts.reduce((sum, each) => sum + each.served, 0);
  return asked === 0 ? 1 : served / asked;
}

/** Plays a set for which a function says who is cut off from when on. */
function play(
  options: Omit<CutOffOptions, 'entries' | 'endpoints' | 'readPath'> &
    Partial<Pick<CutOffOptions, 'entries' | 'endpoints'>>,
  readPath: (entry: number, endpoint: number) => Path,
): CutOffSet {
  let cutAt = Number.POSITIVE_INFINITY;
  const set = createCutOffSet({
    entries: ENTRIES,
    endpoints: ENDPOINTS,
    ...options,
    readPath: (entry, endpoint, at) =>
      at < cutAt ? 'open' : readPath(entry, endpoint),
  });
  set.run(BEFORE_MS);
  cutAt = set.readNow();
  set.run(CONTACT_MS);
  set.settle(SETTLING_MS);
  set.clear();
  set.run(MEASURED_MS);
  set.settle(SETTLING_MS);
  return set;
}

for (const way of WAYS) {
  for (const requestsPerSecond of [1, 10]) {
    for (const cutOff of [1, 5, 7]) {
      t.test(
        `callers of ${cutOff} of ${ENTRIES} entries whose connections to all endpoints ${way.replace(/s$/, '')}, with ${requestsPerSecond} requests a second, are served worse than the others`,
        async t => {
          const set = play({requestsPerSecond}, entry =>
            entry >= ENTRIES - cutOff ? way : 'open',
          );
          const others = measureService(set.callers.slice(0, -cutOff));
          const own = measureService(set.callers.slice(-cutOff));
          t.ok(others >= MIN_SERVICE, `others ${others.toFixed(3)}`);
          t.ok(own >= MIN_RELATIVE_SERVICE * others, `own ${own.toFixed(3)}`);
          const most = Math.max(...set.runs.values());
          t.equal(most, 1, 'no request runs twice');
        },
      );
    }
  }
}

/** Returns which part of all that entries send goes to dead endpoints. */
function measureVain(set: CutOffSet, dead: readonly number[]): number {
  const total = [...set.sent.values()].reduce((sum, each) => sum + each, 0);
  const vain = dead.reduce((sum, each) => sum + (set.sent.get(each) ?? 0), 0);
  return vain / total;
}

t.test(
  'dead endpoints get traffic because some entries are cut off',
  async t => {
    const dead = [1, 4];
    const playWith = (cutOff: number): CutOffSet =>
      play({requestsPerSecond: 10}, (entry, endpoint) =>
        entry >= ENTRIES - cutOff
          ? 'hangs'
          : dead.includes(endpoint)
            ? 'refuses'
            : 'open',
      );
    const set = playWith(3);
    const usual = measureVain(playWith(0), dead);
    const vain = measureVain(set, dead);
    t.ok(
      vain <= usual,
      `${vain.toFixed(3)}, without a cut ${usual.toFixed(3)}`,
    );
    t.ok(measureService(set.callers) >= MIN_SERVICE);
  },
);

t.test(
  'entries take themselves for cut off when endpoints are dead',
  async t => {
    const set = play({requestsPerSecond: 10}, (_entry, endpoint) =>
      endpoint < 4 ? 'refuses' : 'open',
    );
    t.same(set.listIsolated(), []);
    t.equal(set.relayed, 0);
  },
);

t.test(
  'entries pass requests around when no endpoint is reached by any',
  async t => {
    const set = play({requestsPerSecond: 2}, () => 'refuses');
    t.equal(measureService(set.callers), 0);
    t.ok(set.relayed < ENTRIES * 10, `${set.relayed} handovers`);
  },
);

t.test('an isolated entry fills the network with probes', async t => {
  const set = play({requestsPerSecond: 2}, entry =>
    entry === 7 ? 'hangs' : 'open',
  );
  const perSecond = (1_000 * set.probes) / MEASURED_MS;
  t.ok(perSecond <= 8, `${perSecond} a second`);
});

/** Each endpoint is dead, and each entry cut off, with a chance that the seed draws. */
for (const seed of [1, 2, 3, 4, 5, 6]) {
  t.test(
    `random relations of seed ${seed}: callers are not served`,
    async t => {
      const draw = (name: string): number => hashToFraction(`${seed}/${name}`);
      const isCutOff = (entry: number): boolean => draw(`entry ${entry}`) < 0.4;
      const isDead = (endpoint: number): boolean =>
        draw(`endpoint ${endpoint}`) < 0.25;
      const way = WAYS[seed % WAYS.length]!;
      const set = play({requestsPerSecond: 5}, (entry, endpoint) =>
        isCutOff(entry) ? way : isDead(endpoint) ? 'refuses' : 'open',
      );
      const service = measureService(set.callers);
      t.ok(service >= MIN_SERVICE, service.toFixed(3));
      t.equal(Math.max(...set.runs.values()), 1, 'no request runs twice');
    },
  );
}
