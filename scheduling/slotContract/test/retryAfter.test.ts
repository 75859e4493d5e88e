import t from 'tap';

import {createLimitedSet} from './limitedSet.js';

const WARM_UP_MS = 3_000;
const REACTION_MS = 500;
const PAUSE_MS = 4_000;
const MAX_REQUESTS = 2;

for (const service of ['model', 'plain'] as const) {
  t.test(
    `an endpoint that asks for a pause gets nothing from the entry: ${service}`,
    async t => {
      const set = createLimitedSet({
        entries: 12,
        endpoints: 9,
        concurrency: 8,
        requestsPerSecond: 120,
        serviceMs: 300,
        service,
      });
      set.runArrivals(WARM_UP_MS);
      set.pauses.set(0, PAUSE_MS);
      set.runArrivals(WARM_UP_MS + PAUSE_MS);
      const counts = set.nodes.map(node => {
        const toldAt = set.toldAt.get(`${node}/0`);
        return set.arrived.filter(
          arrival =>
            toldAt !== undefined &&
            arrival.node === node &&
            arrival.endpoint === 0 &&
            arrival.at > toldAt + REACTION_MS &&
            arrival.at < toldAt + PAUSE_MS,
        ).length;
      });
      t.ok(set.toldAt.size > 0, 'some entry was told');
      t.ok(Math.max(...counts) <= MAX_REQUESTS, `${counts}`);
    },
  );
}
