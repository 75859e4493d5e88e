import type {EntryOrder} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {DispatchId, RequestId, TierId} from '@gentianshunt/identifiers';

import {createEntryHarness} from './entryHarness.js';
import type {EntryHarness} from './entryHarness.js';
import {createBenchObjects, formatOrganisation, KIND, SET} from './objects.js';
import {TIERS} from './objects.js';

const ENDPOINTS = 8;
const ORGANISATIONS = 5;
const WARM_UP_STEPS = 3_000;
const MEASURED_STEPS = 20_000;
/** Events that a step posts: an arrival, a first token and an end. */
const EVENTS_PER_STEP = 3;
const STEP_MS = 1;
const MICROSECONDS_PER_MILLISECOND = 1_000;

interface LiveLoad {
  readonly harness: EntryHarness;
  /** Dispatches that have not ended, oldest first. */
  readonly running: DispatchId[];
  started: number;
}

/**
 * Measures the cost of an event in microseconds while a number of requests,
 * half of them running, is held.
 */
export function measureEventCost(live: number): number {
  const load = createLoad(live);
  runSteps(load, WARM_UP_STEPS);
  const before = process.cpuUsage();
  runSteps(load, MEASURED_STEPS);
  const used = process.cpuUsage(before);
  return (used.user + used.system) / (MEASURED_STEPS * EVENTS_PER_STEP);
}

function createLoad(live: number): LiveLoad {
  const running: DispatchId[] = [];
  const harness = createEntryHarness({
    node: 'entry-0',
    objects: createBenchObjects({
      organisations: ORGANISATIONS,
      leader: 'entry-0',
    }),
    onOrder: order => noteDispatch(order, running),
  });
  const load: LiveLoad = {harness, running, started: 0};
  announce(load, Math.ceil(live / 2 / ENDPOINTS));
  for (let index = 0; index < live; index += 1) {
    arrive(load);
    harness.advance(STEP_MS);
  }
  return load;
}

function noteDispatch(order: EntryOrder, running: DispatchId[]): void {
  if (order.kind === 'openStream') {
    running.push(order.dispatch.id);
  }
}

function announce(load: LiveLoad, concurrency: number): void {
  for (let index = 0; index < ENDPOINTS; index += 1) {
    load.harness.post({
      kind: 'endpointContact',
      announcement: {
        endpoint: toIdentifier(`engine-${index}`),
        incarnation: toIdentifier('start-1'),
        set: toIdentifier(SET),
        domain: toIdentifier('a'),
        url: `http://127.0.0.1:${index + 1}`,
        concurrency,
        checksFencing: false,
        load: null,
        leaving: false,
      },
    });
  }
}

const ANNOUNCE_EVERY_STEPS = 500;

function runSteps(load: LiveLoad, steps: number): void {
  const concurrency = Math.ceil(load.running.length / ENDPOINTS);
  for (let step = 0; step < steps; step += 1) {
    const ended = load.running.shift();
    if (ended !== undefined) {
      load.harness.post({kind: 'streamStarted', dispatch: ended});
      load.harness.post({
        kind: 'streamEnded',
        dispatch: ended,
        end: {kind: 'complete'},
        stored: null,
      });
    }
    arrive(load);
    if (step % ANNOUNCE_EVERY_STEPS === 0) {
      announce(load, concurrency);
    }
    load.harness.advance(STEP_MS);
  }
}

function arrive(load: LiveLoad): void {
  const index = load.started;
  load.started += 1;
  const id: RequestId = toIdentifier(`request-${index}`);
  load.harness.post({
    kind: 'requestReceived',
    facts: {
      id,
      organisation: toIdentifier(formatOrganisation(index % ORGANISATIONS)),
      tier: toIdentifier<TierId>(TIERS[index % TIERS.length]!),
      set: toIdentifier(SET),
      kind: toIdentifier(KIND),
      claim: null,
      promptTokens: 500,
      maxTokens: 100,
      prefix: null,
    },
  });
}

/** Formats a cost for reading. */
export function formatCost(microseconds: number): string {
  const milliseconds = microseconds / MICROSECONDS_PER_MILLISECOND;
  return `${microseconds.toFixed(1)} us (${milliseconds.toFixed(3)} ms)`;
}
