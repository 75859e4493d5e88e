import {FIRST_HOLD_MS} from '@gentianshunt/quarantine';
import t from 'tap';

import {createCrashingSet} from './crashingSet.js';
import type {CrashingSet} from './crashingSetModel.js';

/** Crashes after which a deadly part must be known. */
const KNOWN_AFTER_CRASHES = 5;
const CONTACT_MS = 3_000;
const MAX_LATE_REQUESTS = 3;
const MIN_BEGUN_RATIO = 0.5;
const WARM_UP_MS = 4_000;
const DAY_MS = 22_000;

const sizes = [
  {entries: 12, endpoints: 9, concurrency: 8, requestsPerSecond: 60},
  {entries: 200, endpoints: 82, concurrency: 5, requestsPerSecond: 300},
];

/** Counts deadly requests at endpoints after the bound. */
function countLate({arrived, crashedAt}: CrashingSet): number {
  const knownAt = crashedAt[KNOWN_AFTER_CRASHES - 1];
  return knownAt === undefined
    ? 0
    : arrived.filter(
        request => request.isDeadly && request.at > knownAt + CONTACT_MS,
      ).length;
}

/** Computes how many sound requests of a time span began at once. */
function computeBegunShare(set: CrashingSet, from: number, to: number): number {
  const sound = set.sent.filter(
    request => !request.isDeadly && request.at >= from && request.at < to,
  );
  const begun = sound.filter(({request}) => set.begun.has(request));
  return begun.length / sound.length;
}

/** Counts answers that were refused for a quarantined part, by requests. */
function countRefused({sent, refusals}: CrashingSet, deadly: boolean): number {
  const refused = new Set(
    refusals
      .filter(({reason}) => reason === 'promptQuarantined')
      .map(({request}) => request),
  );
  return sent.filter(
    request => refused.has(request.request) && request.isDeadly === deadly,
  ).length;
}

for (const size of sizes) {
  t.test(
    `a prompt part that crashes endpoints stops reaching them: ${size.entries} entries`,
    async t => {
      const set = createCrashingSet({...size, deadlyShare: 0.02});
      set.isDeadly = false;
      set.runArrivals(WARM_UP_MS);
      const startedAt = set.entries.time.clock.readMonotonic();
      set.isDeadly = true;
      set.runArrivals(DAY_MS);
      const endedAt = set.entries.time.clock.readMonotonic();
      const lastCrash =
        set.crashedAt[KNOWN_AFTER_CRASHES - 1] ?? set.crashedAt.at(-1)!;
      t.ok(
        countLate(set) <= MAX_LATE_REQUESTS,
        `${countLate(set)} late, ${set.crashedAt.length} crashes`,
      );
      const before = computeBegunShare(set, 0, startedAt);
      const after = computeBegunShare(set, lastCrash + 2 * CONTACT_MS, endedAt);
      t.ok(
        after >= MIN_BEGUN_RATIO * before,
        `${after} of the sound requests begin, ${before} before`,
      );
      t.equal(countRefused(set, false), 0, 'no sound request is held');
    },
  );
}

t.test(
  'a crashing part stays known when the set leader is lost after two crashes',
  async t => {
    const size = sizes[0]!;
    const lost = new Set<string>();
    const set = createCrashingSet({
      ...size,
      deadlyShare: 0.02,
      isLost: ({from, to}) => lost.has(from) || lost.has(to),
    });
    set.isDeadly = false;
    set.runArrivals(WARM_UP_MS);
    set.isDeadly = true;
    while (set.crashedAt.length < 1) {
      set.runArrivals(100);
    }
    lost.add(set.nodes[0]!);
    set.entries.find(set.nodes[0]!).freeze();
    set.runArrivals(CONTACT_MS);
    set.moveLeader(set.nodes[1]!);
    set.runArrivals(DAY_MS);
    t.ok(
      countLate(set) <= MAX_LATE_REQUESTS,
      `${countLate(set)} late, ${set.crashedAt.length} crashes`,
    );
  },
);

t.test('endpoints that are killed hold no prompt part', async t => {
  for (const seed of [1, 2, 3]) {
    const size = sizes[0]!;
    const set = createCrashingSet({...size, deadlyShare: 0, seed});
    set.runArrivals(WARM_UP_MS);
    for (let kill = 0; kill < 24; kill += 1) {
      set.kill(kill % size.endpoints);
      set.runArrivals(kill % 4 === 0 ? 2_000 : 150);
    }
    t.equal(countRefused(set, false), 0, `seed ${seed}`);
  }
});

t.test(
  'a held part is tested once a period, by all entries together',
  async t => {
    const size = sizes[0]!;
    const set = createCrashingSet({...size, deadlyShare: 0.02});
    set.isDeadly = false;
    set.runArrivals(WARM_UP_MS);
    set.isDeadly = true;
    set.runArrivals(DAY_MS);
    const crashes = set.crashedAt.length;
    set.runArrivals(FIRST_HOLD_MS);
    t.equal(set.crashedAt.length, crashes + 1, 'the first test');
    set.isDeadly = false;
    set.runArrivals(2 * FIRST_HOLD_MS + DAY_MS);
    const last = set.sent.filter(({isDeadly}) => isDeadly).at(-1)!;
    set.runArrivals(1_000);
    t.ok(set.begun.has(last.request), 'served again after the second test');
  },
);

t.test(
  'an operator holds a prompt part, and lifts one that crashed',
  async t => {
    const size = sizes[0]!;
    const set = createCrashingSet({...size, deadlyShare: 0.1});
    set.isDeadly = false;
    set.setPolicy('held');
    set.runArrivals(1_000);
    const heldFrom = set.entries.time.clock.readMonotonic();
    set.runArrivals(WARM_UP_MS);
    const late = set.arrived.filter(
      request => request.isDeadly && request.at > heldFrom,
    );
    t.same(late, [], 'held by the operator');
    set.setPolicy('lifted');
    set.isDeadly = true;
    set.runArrivals(WARM_UP_MS);
    t.ok(set.crashedAt.length >= 2, 'lifted, it crashes endpoints');
    t.ok(countRefused(set, true) > 0, 'and is held by the entries');
    set.isDeadly = false;
    set.setPolicy('held');
    set.runArrivals(1_000);
    set.setPolicy('lifted');
    set.runArrivals(1_000);
    const sent = set.sent.length;
    set.runArrivals(WARM_UP_MS);
    const again = set.sent.slice(sent, -60).filter(({isDeadly}) => isDeadly);
    const arrived = new Set(set.arrived.map(({request}) => request));
    const refused = again.filter(({request}) => !arrived.has(request));
    t.same(refused, [], 'lifted by the operator');
  },
);
