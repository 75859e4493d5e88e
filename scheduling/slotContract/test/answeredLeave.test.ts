import t from 'tap';

import {createLimitedSet} from './limitedSet.js';

const WARM_UP_MS = 3_000;
const DRAIN_MS = 2_000;
const DAY_MS = 20_000;

for (const service of ['model', 'plain'] as const) {
  t.test(
    `an endpoint that says in its answers that it leaves gets no new request: ${service}`,
    async t => {
      const set = createLimitedSet({
        entries: 12,
        endpoints: 9,
        concurrency: 8,
        requestsPerSecond: 60,
        serviceMs: 300,
        service,
      });
      set.runArrivals(WARM_UP_MS);
      // Its heartbeats go on as if it were active.
      set.leaving.add(0);
      set.runArrivals(DAY_MS);
      const late = set.arrived.filter(({at, node, endpoint}) => {
        const toldAt = set.toldAt.get(`${node}/${endpoint}`);
        return toldAt !== undefined && at > toldAt + DRAIN_MS;
      });
      t.equal(set.toldAt.size > 0, true, 'some entry was told');
      t.same(late, []);
    },
  );
}
