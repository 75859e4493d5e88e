import {assertNever} from '@gentianshunt/errors';

import type {Arrival} from './arrivals.js';
import type {Engine} from './engine.js';
import type {Fleet} from './fleet.js';
import type {BaselineName} from './policyName.js';
import type {Scheduler, SchedulerOptions} from './scheduler.js';
import {estimateServiceMs, pickMedianEngine} from './serviceModel.js';

/**
 * Maximum number of waiting requests, for each slot of the endpoint set, before
 * a baseline sheds requests.
 */
export const MAX_QUEUED_PER_SLOT = 4;
/** Target of each tier for the time to the first token, highest tier first. */
export const FIRST_TOKEN_TARGETS_MS = [2_000, 5_000, 15_000] as const;

/** Creates a baseline: one scheduler that sees all requests without delay. */
export function createBaseline(
  name: BaselineName,
  options: SchedulerOptions,
): Scheduler {
  switch (name) {
    case 'roundRobinFifo':
      return createPushBaseline(options, createRoundRobinPicker(), true);
    case 'leastLoadStale':
      return createPushBaseline(options, createLeastLoadPicker(), true);
    case 'leastLoadStaleNoCancel':
      return createPushBaseline(options, createLeastLoadPicker(), false);
    case 'tierFifo':
      return createQueueBaseline(options, arrival => arrival.at);
    case 'earliestDeadline':
      return createQueueBaseline(
        options,
        arrival => arrival.at + FIRST_TOKEN_TARGETS_MS[arrival.rank - 1]!,
        false,
      );
    case 'newestFirst':
      return createQueueBaseline(options, arrival => -arrival.at);
    case 'shortestFirst':
      return createQueueBaseline(options, arrival =>
        estimateServiceMs(
          pickMedianEngine(options.profile, arrival.kind.set),
          arrival,
        ),
      );
    default:
      return assertNever(name, 'createBaseline');
  }
}

type PickEngine = (fleet: Fleet, arrival: Arrival) => Engine | undefined;

function createRoundRobinPicker(): PickEngine {
  const counters = new Map<string, number>();
  return (fleet, {kind}) => {
    const engines = listRunningEngines(fleet, kind.set);
    const counter = counters.get(kind.set) ?? 0;
    counters.set(kind.set, counter + 1);
    return engines[counter % engines.length];
  };
}

function createLeastLoadPicker(): PickEngine {
  return (fleet, {kind}) => {
    const loads = listRunningEngines(fleet, kind.set).map(engine => {
      const {running, waiting} = fleet.readStaleLoad(engine);
      return {engine, load: (running + waiting) / engine.spec.batchSize};
    });
    const least = Math.min(...loads.map(({load}) => load));
    return loads.find(({load}) => load === least)?.engine;
  };
}

function listRunningEngines(fleet: Fleet, set: string): readonly Engine[] {
  return fleet.engines.filter(
    engine => engine.spec.set === set && !engine.isStopped(),
  );
}

/** Dispatches each request on arrival; it waits in the engine's queue. */
function createPushBaseline(
  {recorder, profile}: SchedulerOptions,
  pick: PickEngine,
  isCancelling: boolean,
): Scheduler {
  const engineByRequest = new Map<string, Engine>();
  const inFlightBySet = new Map<string, number>();
  let fleet: Fleet;
  const removeInFlight = (arrival: Arrival): void => {
    if (engineByRequest.delete(arrival.id)) {
      const {set} = arrival.kind;
      inFlightBySet.set(set, (inFlightBySet.get(set) ?? 0) - 1);
    }
  };
  return {
    begin: startedFleet => {
      fleet = startedFleet;
    },
    receive: arrival => {
      const {set} = arrival.kind;
      const count = inFlightBySet.get(set) ?? 0;
      const engine = pick(fleet, arrival);
      const slots = countSlots(profile.engines, set);
      if (engine === undefined || count >= slots * (1 + MAX_QUEUED_PER_SLOT)) {
        recorder.recordOutcome(arrival, 'shed');
        return;
      }
      inFlightBySet.set(set, count + 1);
      engineByRequest.set(arrival.id, engine);
      recorder.recordDispatch(arrival);
      engine.start(arrival);
    },
    disconnectCaller: arrival => {
      recorder.recordOutcome(arrival, 'abandoned');
      if (isCancelling) {
        engineByRequest.get(arrival.id)?.cancel(arrival);
        removeInFlight(arrival);
      }
    },
    startAnswer: arrival => recorder.recordFirstToken(arrival),
    reportProgress: () => undefined,
    endAnswer: arrival => {
      recorder.recordOutcome(arrival, 'answered');
      removeInFlight(arrival);
    },
    failAnswer: arrival => {
      recorder.recordOutcome(arrival, 'cut');
      removeInFlight(arrival);
    },
  };
}

function countSlots(
  engines: readonly {readonly set: string; readonly batchSize: number}[],
  set: string,
): number {
  return engines
    .filter(engine => engine.set === set)
    .reduce((sum, engine) => sum + engine.batchSize, 0);
}

/**
 * Queues requests until a slot is free and dispatches those with the lowest
 * sort key first; unless `isTierFirst` is false, higher tiers precede lower
 * ones.
 */
function createQueueBaseline(
  {recorder, profile}: SchedulerOptions,
  computeSortKey: (arrival: Arrival) => number,
  isTierFirst = true,
): Scheduler {
  const queued = new Map<string, Arrival>();
  const engineByRequest = new Map<string, Engine>();
  const runningByEngine = new Map<Engine, number>();
  let fleet: Fleet;
  const isBefore = (left: Arrival, right: Arrival): boolean =>
    left.rank === right.rank || !isTierFirst
      ? computeSortKey(left) < computeSortKey(right)
      : left.rank < right.rank;
  const dispatch = (set: string): void => {
    for (;;) {
      const engine = pickFreeEngine(fleet, runningByEngine, set);
      const next = pickFirst(queued, set, isBefore);
      if (engine === undefined || next === undefined) {
        return;
      }
      queued.delete(next.id);
      engineByRequest.set(next.id, engine);
      runningByEngine.set(engine, (runningByEngine.get(engine) ?? 0) + 1);
      recorder.recordDispatch(next);
      engine.start(next);
    }
  };
  const shedExcess = (set: string): void => {
    const waiting = [...queued.values()].filter(item => item.kind.set === set);
    const limit = MAX_QUEUED_PER_SLOT * countSlots(profile.engines, set);
    if (waiting.length > limit) {
      const last = pickFirst(queued, set, (a, b) => isBefore(b, a))!;
      queued.delete(last.id);
      recorder.recordOutcome(last, 'shed');
    }
  };
  const releaseSlot = (arrival: Arrival): void => {
    const engine = engineByRequest.get(arrival.id);
    if (engine !== undefined) {
      engineByRequest.delete(arrival.id);
      runningByEngine.set(engine, runningByEngine.get(engine)! - 1);
    }
    dispatch(arrival.kind.set);
  };
  return {
    begin: startedFleet => {
      fleet = startedFleet;
    },
    receive: arrival => {
      queued.set(arrival.id, arrival);
      dispatch(arrival.kind.set);
      shedExcess(arrival.kind.set);
    },
    disconnectCaller: arrival => {
      recorder.recordOutcome(arrival, 'abandoned');
      queued.delete(arrival.id);
      engineByRequest.get(arrival.id)?.cancel(arrival);
      releaseSlot(arrival);
    },
    startAnswer: arrival => recorder.recordFirstToken(arrival),
    reportProgress: () => undefined,
    endAnswer: arrival => {
      recorder.recordOutcome(arrival, 'answered');
      releaseSlot(arrival);
    },
    failAnswer: arrival => {
      recorder.recordOutcome(arrival, 'cut');
      releaseSlot(arrival);
    },
  };
}

/** Picks the engine with the lowest load that has a free slot. */
function pickFreeEngine(
  fleet: Fleet,
  runningByEngine: ReadonlyMap<Engine, number>,
  set: string,
): Engine | undefined {
  let best: Engine | undefined;
  let lowestLoad = 1;
  for (const engine of listRunningEngines(fleet, set)) {
    const load = (runningByEngine.get(engine) ?? 0) / engine.spec.batchSize;
    if (load < lowestLoad) {
      best = engine;
      lowestLoad = load;
    }
  }
  return best;
}

/** Picks the request of a set that precedes all others. */
function pickFirst(
  queued: ReadonlyMap<string, Arrival>,
  set: string,
  isBefore: (left: Arrival, right: Arrival) => boolean,
): Arrival | undefined {
  let first: Arrival | undefined;
  for (const arrival of queued.values()) {
    if (arrival.kind.set === set && (!first || isBefore(arrival, first))) {
      first = arrival;
    }
  }
  return first;
}
