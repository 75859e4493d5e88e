import type {EndpointService} from '@gentianshunt/configuration';
import t from 'tap';

import {createBrittleSet, LEADER} from './brittleSet.js';
import {TEST_TIMEOUT_MS} from './testTimeout.js';

const ENDPOINTS = 6;
/** Falls that are allowed: 2 and a tenth of the endpoints. */
const MAX_FALLS = 2 + ENDPOINTS / 10;
const WARM_UP_MS = 1_000;
/** How long endpoints say so before they let fewer wait (`contact_ms`). */
const CONTACT_MS = 3_000;
const BRITTLE_MS = 4_000;

t.setTimeout(TEST_TIMEOUT_MS);

const SERVICES: readonly EndpointService[] = [
  {kind: 'plain', service: 'ledger'},
  {kind: 'model', model: 'm'},
];

for (const service of SERVICES) {
  for (const entries of [12, 40]) {
    for (const load of [0.6, 1.5]) {
      t.test(
        `brittle endpoints of a ${service.kind} set fall over under ${load} of what they process, from ${entries} entries`,
        async t => {
          const set = createBrittleSet({
            entries,
            endpoints: ENDPOINTS,
            service,
            load,
            rejectionsPerSecond: 3,
          });
          set.run(WARM_UP_MS);
          set.setBrittle(set.readNow(), set.readNow() + CONTACT_MS);
          set.run(CONTACT_MS + BRITTLE_MS);
          t.ok(set.falls <= MAX_FALLS, `${set.falls} falls`);
          const part = set.served / set.asked;
          t.ok(part > 0.5 * Math.min(1, 1 / load), `${part.toFixed(2)} served`);
        },
      );
    }
  }
}

t.test('brittle endpoints fall over when the set leader ends', async t => {
  const set = createBrittleSet({
    entries: 12,
    endpoints: ENDPOINTS,
    service: SERVICES[1]!,
    load: 0.8,
    rejectionsPerSecond: 3,
  });
  set.run(WARM_UP_MS);
  set.setBrittle(set.readNow(), set.readNow() + CONTACT_MS);
  set.run(CONTACT_MS + BRITTLE_MS / 4);
  set.entries.find(LEADER).kill();
  set.run(BRITTLE_MS / 2);
  t.ok(set.falls <= MAX_FALLS, `${set.falls} falls`);
});
