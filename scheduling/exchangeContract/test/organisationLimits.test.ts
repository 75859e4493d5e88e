import type {OrganisationLimits} from '@gentianshunt/configuration';
import type {EntryOrder} from '@gentianshunt/entryModel';
import {
  createArrival,
  createBenchObjects,
  createContact,
  createVirtualEntries,
} from '@gentianshunt/virtualEntry';
import t from 'tap';

const NODES = ['entry-0', 'entry-1', 'entry-2'] as const;
const START_UP_MS = 2_500;
const RUN_MS = 6_000;
const ARRIVAL_MS = 20;
const SERVICE_MS = 300;
const ANNOUNCE_MS = 500;

interface LimitedRun {
  /** Most requests that ran at once, over all entries. */
  readonly peak: number;
  readonly dispatched: number;
  readonly refused: readonly string[];
}

function createObjects(limits: OrganisationLimits) {
  return createBenchObjects({organisations: 1, leader: NODES[0]}).map(object =>
    object.kind === 'organisation' ? {...object, limits} : object,
  );
}

/** Runs more arrivals over three entries than the limits allow. */
function runLimited(limits: OrganisationLimits): LimitedRun {
  const refused: string[] = [];
  let running = 0;
  let peak = 0;
  let dispatched = 0;
  const follow = (node: string, order: EntryOrder): void => {
    if (order.kind === 'refuseCaller') {
      refused.push(order.refusal.reason.kind);
    }
    if (order.kind !== 'openStream') {
      return;
    }
    running += 1;
    dispatched += 1;
    peak = Math.max(peak, running);
    entries.time.schedule(SERVICE_MS, () => {
      running -= 1;
      entries.find(node).post({
        kind: 'streamEnded',
        dispatch: order.dispatch.id,
        end: {kind: 'complete'},
        stored: null,
      });
    });
  };
  const entries = createVirtualEntries({
    nodes: NODES,
    objects: createObjects(limits),
    onOrder: follow,
  });
  const announce = (): void => {
    for (const node of NODES) {
      entries.find(node).post(createContact({concurrency: 50}));
    }
    entries.time.schedule(ANNOUNCE_MS, announce);
  };
  announce();
  entries.time.advance(START_UP_MS);
  for (let index = 0; index < RUN_MS / ARRIVAL_MS; index += 1) {
    const node = NODES[index % NODES.length]!;
    entries.find(node).post(createArrival({index, organisation: 0}));
    entries.time.advance(ARRIVAL_MS);
  }
  return {peak, dispatched, refused};
}

t.test('work in flight is bounded over all entries', async t => {
  const limits = {maxRunning: 4, maxRequestsPerSecond: null};
  const run = runLimited(limits);
  t.equal(run.peak, 4, 'the bound is reached and not passed');
  t.ok(run.refused.length > 0);
  t.ok(run.refused.every(reason => reason === 'organisationLimit'));
});

t.test('the rate is bounded over all entries', async t => {
  const limits = {maxRunning: null, maxRequestsPerSecond: 10};
  const run = runLimited(limits);
  const seconds = RUN_MS / 1_000;
  t.ok(run.dispatched <= 10 * (seconds + 1), `${run.dispatched} dispatched`);
  t.ok(run.dispatched >= 10 * (seconds - 1), `${run.dispatched} dispatched`);
  t.ok(run.refused.every(reason => reason === 'organisationLimit'));
});

t.test('without limits everything runs', async t => {
  const limits = {maxRunning: null, maxRequestsPerSecond: null};
  const run = runLimited(limits);
  t.ok(run.dispatched >= RUN_MS / ARRIVAL_MS - 1);
  t.same(run.refused, []);
});
