import type {DispatchId} from '@gentianshunt/identifiers';
import {
  createArrival,
  createBenchObjects,
  createContact,
  createVirtualEntries,
  TIERS,
} from '@gentianshunt/virtualEntry';
import type {VirtualEntries} from '@gentianshunt/virtualEntry';

const NODE = 'entry-0';
const ENDPOINTS = 8;
const ORGANISATIONS = 5;
const WARM_UP_STEPS = 3_000;
const MEASURED_STEPS = 20_000;
/** Events that a step posts: an arrival, a first token and an end. */
const EVENTS_PER_STEP = 3;
const STEP_MS = 1;
const START_UP_MS = 2_500;
const ANNOUNCE_EVERY_STEPS = 500;

interface LiveLoad {
  readonly entries: VirtualEntries;
  /** Dispatches that have not ended, oldest first. */
  readonly running: DispatchId[];
  readonly concurrency: number;
  started: number;
}

/** What holding a number of requests costs. */
export interface EventCost {
  /** Processor time of one event, in microseconds. */
  readonly microseconds: number;
  readonly running: number;
  readonly waiting: number;
}

/**
 * Measures the cost of an event while a number of requests, half of them
 * running, is held.
 */
export function measureEventCost(live: number): EventCost {
  const load = createLoad(live);
  runSteps(load, WARM_UP_STEPS);
  const before = process.cpuUsage();
  runSteps(load, MEASURED_STEPS);
  const used = process.cpuUsage(before);
  const {view} = load.entries.find(NODE).entry;
  return {
    microseconds:
      (used.user + used.system) / (MEASURED_STEPS * EVENTS_PER_STEP),
    running: view.dispatches.size,
    waiting: view.waiting.size,
  };
}

function createLoad(live: number): LiveLoad {
  const running: DispatchId[] = [];
  const entries = createVirtualEntries({
    nodes: [NODE],
    objects: createBenchObjects({organisations: ORGANISATIONS, leader: NODE}),
    onOrder: (_node, order) => {
      if (order.kind === 'openStream') {
        running.push(order.dispatch.id);
      }
    },
  });
  const load: LiveLoad = {
    entries,
    running,
    concurrency: Math.ceil(live / 2 / ENDPOINTS),
    started: 0,
  };
  entries.time.advance(START_UP_MS);
  announce(load);
  for (let index = 0; index < live; index += 1) {
    arrive(load);
  }
  return load;
}

function announce(load: LiveLoad): void {
  const {concurrency} = load;
  for (let index = 0; index < ENDPOINTS; index += 1) {
    load.entries.find(NODE).post(createContact({index, concurrency}));
  }
}

function runSteps(load: LiveLoad, steps: number): void {
  const entry = load.entries.find(NODE);
  for (let step = 0; step < steps; step += 1) {
    const dispatch = load.running.shift();
    if (dispatch !== undefined) {
      entry.post({kind: 'streamStarted', dispatch});
      entry.post({
        kind: 'streamEnded',
        dispatch,
        end: {kind: 'complete'},
        stored: null,
      });
    }
    arrive(load);
    if (step % ANNOUNCE_EVERY_STEPS === 0) {
      announce(load);
    }
    load.entries.time.advance(STEP_MS);
  }
}

function arrive(load: LiveLoad): void {
  const index = load.started;
  load.started += 1;
  load.entries.find(NODE).post(
    createArrival({
      index,
      organisation: index % ORGANISATIONS,
      tier: index % TIERS.length,
    }),
  );
}
