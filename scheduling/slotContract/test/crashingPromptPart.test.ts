import t from 'tap';

import {createCrashingSet, DEADLY_PART} from './crashingSet.js';
import type {ArrivedRequest, CrashingSet} from './crashingSet.js';

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

function isDeadly({parts}: ArrivedRequest): boolean {
  return parts.includes(DEADLY_PART);
}

/** Counts deadly requests at endpoints after the bound. */
function countLate({arrived, crashedAt}: CrashingSet): number {
  const knownAt = crashedAt[KNOWN_AFTER_CRASHES - 1];
  return knownAt === undefined
    ? 0
    : arrived.filter(
        request => isDeadly(request) && request.at > knownAt + CONTACT_MS,
      ).length;
}

/** Computes how many sound requests of a time span began at once. */
function computeBegunShare(set: CrashingSet, from: number, to: number): number {
  const sound = set.sent.filter(
    request => !isDeadly(request) && request.at >= from && request.at < to,
  );
  const begun = sound.filter(({request}) => set.begun.has(request));
  return begun.length / sound.length;
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
    },
  );
}
