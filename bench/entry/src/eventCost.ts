import type {DispatchId} from '@gentianshunt/identifiers';
import {
  createArrival,
  createConfigurationObjects,
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
/** Events of one step: a request's arrival, first token and end. */
const EVENTS_PER_STEP = 3;
const STEP_MS = 1;
const START_UP_MS = 2_500;
const ANNOUNCE_EVERY_STEPS = 500;

/** An entry in virtual time and the requests that it has. */
interface BenchLoad {
  readonly entries: VirtualEntries;
  /** Dispatches that have not ended, oldest first. */
  readonly running: DispatchId[];
  readonly concurrency: number;
  started: number;
}

/** Cost of an event in an entry with a number of live requests. */
export interface EventCost {
  /** Processor time of one event, in microseconds. */
  readonly microseconds: number;
  /** Requests dispatched to endpoints at the end of the measurement. */
  readonly running: number;
  /** Requests in queues at the end of the measurement. */
  readonly waiting: number;
}

/**
 * Measures the cost of an event in an entry with a constant number of live
 * requests, half of them running and half waiting.
 */
export function measureEventCost(liveRequests: number): EventCost {
  const load = createLoad(liveRequests);
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

function createLoad(liveRequests: number): BenchLoad {
  const running: DispatchId[] = [];
  const entries = createVirtualEntries({
    nodes: [NODE],
    objects: createConfigurationObjects({
      organisations: ORGANISATIONS,
      leader: NODE,
    }),
    onEffect: (_node, effect) => {
      if (effect.kind === 'openStream') {
        running.push(effect.dispatch.id);
      }
    },
  });
  const load: BenchLoad = {
    entries,
    running,
    concurrency: Math.ceil(liveRequests / 2 / ENDPOINTS),
    started: 0,
  };
  entries.time.advance(START_UP_MS);
  announceEndpoints(load);
  for (let index = 0; index < liveRequests; index += 1) {
    sendArrival(load);
  }
  return load;
}

function announceEndpoints(load: BenchLoad): void {
  const {concurrency} = load;
  for (let index = 0; index < ENDPOINTS; index += 1) {
    load.entries.find(NODE).post(createContact({index, concurrency}));
  }
}

function runSteps(load: BenchLoad, steps: number): void {
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
    sendArrival(load);
    if (step % ANNOUNCE_EVERY_STEPS === 0) {
      announceEndpoints(load);
    }
    load.entries.time.advance(STEP_MS);
  }
}

function sendArrival(load: BenchLoad): void {
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
