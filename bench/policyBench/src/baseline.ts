import {assertNever} from '@gentianshunt/errors';

import type {Arrival} from './arrivals.js';
import type {Engine} from './engine.js';
import type {Fleet} from './fleet.js';
import type {BaselineName} from './policyName.js';
import type {Scheduler, SchedulerOptions} from './scheduler.js';
import {estimateServiceMs, pickMedianEngine} from './serviceModel.js';

/** Most requests a baseline holds for each slot before it sheds. */
export const HELD_PER_SLOT = 4;
/** Time to the first token that each tier aims at, highest tier first. */
export const FIRST_TOKEN_TARGETS_MS = [2_000, 5_000, 15_000] as const;

/** Creates a baseline; it sees all demand at once and without delay. */
export function createBaseline(
  name: BaselineName,
  options: SchedulerOptions,
): Scheduler {
  switch (name) {
    case 'roundRobinFifo':
      return createPushing(options, createRoundRobin(), true);
    case 'leastLoadStale':
      return createPushing(options, createLeastLoad(), true);
    case 'leastLoadStaleNoCancel':
      return createPushing(options, createLeastLoad(), false);
    case 'tierFifo':
      return createHolding(options, arrival => arrival.at);
    case 'earliestDeadline':
      return createHolding(
        options,
        arrival => arrival.at + FIRST_TOKEN_TARGETS_MS[arrival.rank - 1]!,
        false,
      );
    case 'newestFirst':
      return createHolding(options, arrival => -arrival.at);
    case 'shortestFirst':
      return createHolding(options, arrival =>
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

function createRoundRobin(): PickEngine {
  const turns = new Map<string, number>();
  return (fleet, {kind}) => {
    const engines = listAlive(fleet, kind.set);
    const turn = turns.get(kind.set) ?? 0;
    turns.set(kind.set, turn + 1);
    return engines[turn % engines.length];
  };
}

function createLeastLoad(): PickEngine {
  return (fleet, {kind}) => {
    const loads = listAlive(fleet, kind.set).map(engine => {
      const {running, waiting} = fleet.readStaleLoad(engine);
      return {engine, load: (running + waiting) / engine.spec.batch};
    });
    const least = Math.min(...loads.map(({load}) => load));
    return loads.find(({load}) => load === least)?.engine;
  };
}

function listAlive(fleet: Fleet, set: string): readonly Engine[] {
  return fleet.engines.filter(
    engine => engine.spec.set === set && !engine.isStopped(),
  );
}

/** Sends each request on at once; it waits in the engine. */
function createPushing(
  {recorder, profile}: SchedulerOptions,
  pick: PickEngine,
  cancels: boolean,
): Scheduler {
  const placed = new Map<string, Engine>();
  const inFlight = new Map<string, number>();
  let fleet: Fleet;
  const finish = (arrival: Arrival): void => {
    if (placed.delete(arrival.id)) {
      const {set} = arrival.kind;
      inFlight.set(set, (inFlight.get(set) ?? 0) - 1);
    }
  };
  return {
    begin: started => {
      fleet = started;
    },
    receive: arrival => {
      const {set} = arrival.kind;
      const count = inFlight.get(set) ?? 0;
      const engine = pick(fleet, arrival);
      const slots = countSlots(profile.engines, set);
      if (engine === undefined || count >= slots * (1 + HELD_PER_SLOT)) {
        recorder.noteOutcome(arrival, 'shed');
        return;
      }
      inFlight.set(set, count + 1);
      placed.set(arrival.id, engine);
      recorder.noteDispatch(arrival);
      engine.start(arrival);
    },
    loseCaller: arrival => {
      recorder.noteOutcome(arrival, 'abandoned');
      if (cancels) {
        placed.get(arrival.id)?.cancel(arrival);
        finish(arrival);
      }
    },
    startAnswer: arrival => recorder.noteFirstToken(arrival),
    reportProgress: () => undefined,
    endAnswer: arrival => {
      recorder.noteOutcome(arrival, 'answered');
      finish(arrival);
    },
    cutAnswer: arrival => {
      recorder.noteOutcome(arrival, 'cut');
      finish(arrival);
    },
  };
}

function countSlots(
  engines: readonly {readonly set: string; readonly batch: number}[],
  set: string,
): number {
  return engines
    .filter(engine => engine.set === set)
    .reduce((sum, engine) => sum + engine.batch, 0);
}

/** Holds requests until a slot is free, as a rule higher tiers first. */
function createHolding(
  {recorder, profile}: SchedulerOptions,
  rankWithin: (arrival: Arrival) => number,
  keepsTiers = true,
): Scheduler {
  const held = new Map<string, Arrival>();
  const running = new Map<string, Engine>();
  const occupied = new Map<Engine, number>();
  let fleet: Fleet;
  const goesBefore = (left: Arrival, right: Arrival): boolean =>
    left.rank === right.rank || !keepsTiers
      ? rankWithin(left) < rankWithin(right)
      : left.rank < right.rank;
  const dispatch = (set: string): void => {
    for (;;) {
      const engine = pickFree(fleet, occupied, set);
      const next = pickExtreme(held, set, goesBefore);
      if (engine === undefined || next === undefined) {
        return;
      }
      held.delete(next.id);
      running.set(next.id, engine);
      occupied.set(engine, (occupied.get(engine) ?? 0) + 1);
      recorder.noteDispatch(next);
      engine.start(next);
    }
  };
  const shedExcess = (set: string): void => {
    const waiting = [...held.values()].filter(item => item.kind.set === set);
    const limit = HELD_PER_SLOT * countSlots(profile.engines, set);
    if (waiting.length > limit) {
      const last = pickExtreme(held, set, (a, b) => goesBefore(b, a))!;
      held.delete(last.id);
      recorder.noteOutcome(last, 'shed');
    }
  };
  const release = (arrival: Arrival): void => {
    const engine = running.get(arrival.id);
    if (engine !== undefined) {
      running.delete(arrival.id);
      occupied.set(engine, occupied.get(engine)! - 1);
    }
    dispatch(arrival.kind.set);
  };
  return {
    begin: started => {
      fleet = started;
    },
    receive: arrival => {
      held.set(arrival.id, arrival);
      dispatch(arrival.kind.set);
      shedExcess(arrival.kind.set);
    },
    loseCaller: arrival => {
      recorder.noteOutcome(arrival, 'abandoned');
      held.delete(arrival.id);
      running.get(arrival.id)?.cancel(arrival);
      release(arrival);
    },
    startAnswer: arrival => recorder.noteFirstToken(arrival),
    reportProgress: () => undefined,
    endAnswer: arrival => {
      recorder.noteOutcome(arrival, 'answered');
      release(arrival);
    },
    cutAnswer: arrival => {
      recorder.noteOutcome(arrival, 'cut');
      release(arrival);
    },
  };
}

function pickFree(
  fleet: Fleet,
  occupied: ReadonlyMap<Engine, number>,
  set: string,
): Engine | undefined {
  let best: Engine | undefined;
  let least = 1;
  for (const engine of listAlive(fleet, set)) {
    const load = (occupied.get(engine) ?? 0) / engine.spec.batch;
    if (load < least) {
      best = engine;
      least = load;
    }
  }
  return best;
}

function pickExtreme(
  held: ReadonlyMap<string, Arrival>,
  set: string,
  goesBefore: (left: Arrival, right: Arrival) => boolean,
): Arrival | undefined {
  let best: Arrival | undefined;
  for (const arrival of held.values()) {
    if (arrival.kind.set === set && (!best || goesBefore(arrival, best))) {
      best = arrival;
    }
  }
  return best;
}
