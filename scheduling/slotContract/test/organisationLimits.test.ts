import type {OrganisationLimits} from '@gentianshunt/configuration';
import type {EntryEffect} from '@gentianshunt/entryModel';
import {
  createArrival,
  createConfigurationObjects,
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
  /** Highest number of requests that ran at the same time in all entries. */
  readonly peakRunning: number;
  readonly dispatched: number;
  readonly refused: readonly string[];
}

function createObjects(limits: OrganisationLimits) {
  return createConfigurationObjects({organisations: 1, leader: NODES[0]}).map(
    object => (object.kind === 'organisation' ? {...object, limits} : object),
  );
}

/** Adds more arrivals to three entries than the limits allow. */
function runLimited(limits: OrganisationLimits): LimitedRun {
  const refused: string[] = [];
  let running = 0;
  let peakRunning = 0;
  let dispatched = 0;
  const handleEffect = (node: string, effect: EntryEffect): void => {
    if (effect.kind === 'refuseCaller') {
      refused.push(effect.refusal.reason.kind);
    }
    if (effect.kind !== 'openStream') {
      return;
    }
    running += 1;
    dispatched += 1;
    peakRunning = Math.max(peakRunning, running);
    entries.time.schedule(SERVICE_MS, () => {
      running -= 1;
      entries.find(node).post({
        kind: 'streamEnded',
        dispatch: effect.dispatch.id,
        end: {kind: 'complete'},
        stored: null,
      });
    });
  };
  const entries = createVirtualEntries({
    nodes: NODES,
    objects: createObjects(limits),
    onEffect: handleEffect,
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
  return {peakRunning, dispatched, refused};
}

t.test('maxRunning limits the running requests of all entries', async t => {
  const limits = {maxRunning: 4, maxRequestsPerSecond: null};
  const run = runLimited(limits);
  t.equal(run.peakRunning, 4, 'the limit is reached and not exceeded');
  t.ok(run.refused.length > 0);
  t.ok(run.refused.every(reason => reason === 'organisationLimit'));
});

t.test('maxRequestsPerSecond limits the rate of all entries', async t => {
  const limits = {maxRunning: null, maxRequestsPerSecond: 10};
  const run = runLimited(limits);
  const seconds = RUN_MS / 1_000;
  t.ok(run.dispatched <= 10 * (seconds + 1), `${run.dispatched} dispatched`);
  t.ok(run.dispatched >= 10 * (seconds - 1), `${run.dispatched} dispatched`);
  t.ok(run.refused.every(reason => reason === 'organisationLimit'));
});

t.test('without limits all requests are dispatched', async t => {
  const limits = {maxRunning: null, maxRequestsPerSecond: null};
  const run = runLimited(limits);
  t.ok(run.dispatched >= RUN_MS / ARRIVAL_MS - 1);
  t.same(run.refused, []);
});
