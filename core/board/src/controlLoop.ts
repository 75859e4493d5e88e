import type {Clock} from '@gentianshunt/clock';

import {createBoard} from './board.js';
import type {Board, BoardView, Change} from './board.js';
import {
  DuplicateWriterError,
  SectionOwnershipError,
  UnsettledTurnError,
} from './boardErrors.js';
import type {AnyController, ChangedKeys, TurnTime, View} from './controller.js';
import type {Sections} from './section.js';
import type {SectionWrite, Write} from './write.js';

/** The most rounds of controllers in one turn. */
export const MAX_ROUNDS_PER_TURN = 64;

/** What a control loop is made of. */
export interface ControlLoopOptions<S extends Sections, Observation, Order> {
  readonly sections: S;
  readonly controllers: readonly AnyController<S, Observation, Order>[];
  readonly clock: Clock;
  /** Carries out an order; it must not throw and must not block. */
  readonly perform: (order: Order) => void;
}

/** Takes observations one at a time and hands out the resulting orders. */
export interface ControlLoop<S extends Sections, Observation> {
  readonly view: BoardView<S>;
  /** Queues an observation and handles it once earlier ones are done. */
  post(observation: Observation): void;
}

const NO_CHANGES: ChangedKeys = new Set();

/** A controller with what it has not yet seen. */
interface Runner<S extends Sections, Observation, Order> {
  readonly controller: AnyController<S, Observation, Order>;
  readonly owns: ReadonlySet<keyof S>;
  readonly observes: ReadonlySet<string>;
  /** Keys changed since the controller last ran, by section. */
  changed: Map<keyof S, Set<unknown>>;
}

/** The controllers in their order, and who reads each section. */
interface Schedule<S extends Sections, Observation, Order> {
  readonly runners: readonly Runner<S, Observation, Order>[];
  readonly readers: ReadonlyMap<
    keyof S,
    readonly Runner<S, Observation, Order>[]
  >;
}

/** Creates a loop; it runs only while an observation is being handled. */
export function createControlLoop<
  S extends Sections,
  Observation extends {readonly kind: string},
  Order,
>(
  options: ControlLoopOptions<S, Observation, Order>,
): ControlLoop<S, Observation> {
  checkWriters(options.controllers);
  const board = createBoard({sections: options.sections});
  const schedule = createSchedule(options.controllers);
  const pending: Observation[] = [];
  let running = false;
  const post = (observation: Observation): void => {
    pending.push(observation);
    if (running) {
      return;
    }
    running = true;
    try {
      drainPending(pending, board, schedule, options);
    } finally {
      running = false;
    }
  };
  return {view: board.view, post};
}

function drainPending<
  S extends Sections,
  Observation extends {readonly kind: string},
  Order,
>(
  pending: Observation[],
  board: Board<S>,
  schedule: Schedule<S, Observation, Order>,
  options: ControlLoopOptions<S, Observation, Order>,
): void {
  for (;;) {
    const observation = pending.shift();
    if (observation === undefined) {
      return;
    }
    const now = {
      monotonic: options.clock.readMonotonic(),
      wall: options.clock.readWallTime(),
    };
    for (const order of runTurn(board, schedule, observation, now)) {
      options.perform(order);
    }
  }
}

function runTurn<
  S extends Sections,
  Observation extends {readonly kind: string},
  Order,
>(
  board: Board<S>,
  schedule: Schedule<S, Observation, Order>,
  observation: Observation,
  now: TurnTime,
): readonly Order[] {
  const outbox: Order[] = [];
  for (let round = 0; round < MAX_ROUNDS_PER_TURN; round += 1) {
    let ran = false;
    for (const runner of schedule.runners) {
      const observed =
        round === 0 && runner.observes.has(observation.kind)
          ? observation
          : undefined;
      if (observed === undefined && runner.changed.size === 0) {
        continue;
      }
      ran = true;
      const view = createView(board, observed, takeChanged(runner));
      const writes = runner.controller.run(view, now);
      commitWrites(board, schedule, runner, writes, outbox);
    }
    if (!ran) {
      return outbox;
    }
  }
  throw new UnsettledTurnError(
    schedule.runners.map(runner => runner.controller.name),
    MAX_ROUNDS_PER_TURN,
  );
}

function takeChanged<S extends Sections, Observation, Order>(
  runner: Runner<S, Observation, Order>,
): ReadonlyMap<keyof S, ChangedKeys> {
  const {changed} = runner;
  if (changed.size > 0) {
    runner.changed = new Map();
  }
  return changed;
}

function noteChange<S extends Sections, Observation, Order>(
  runner: Runner<S, Observation, Order>,
  change: Change<S>,
): void {
  const keys = runner.changed.get(change.section);
  if (keys === undefined) {
    runner.changed.set(change.section, new Set([change.key]));
  } else {
    keys.add(change.key);
  }
}

function createView<S extends Sections, Observation>(
  board: Board<S>,
  observation: Observation | undefined,
  changed: ReadonlyMap<keyof S, ChangedKeys>,
): View<S, keyof S, Observation> {
  return {
    observation,
    board: board.view,
    readChanges: section => changed.get(section) ?? NO_CHANGES,
  };
}

function commitWrites<S extends Sections, Observation, Order>(
  board: Board<S>,
  schedule: Schedule<S, Observation, Order>,
  runner: Runner<S, Observation, Order>,
  writes: readonly Write<S, keyof S, Order>[],
  outbox: Order[],
): void {
  for (const write of writes) {
    if (write.kind === 'order') {
      outbox.push(write.order);
      continue;
    }
    const sectionWrite = write as SectionWrite<S, keyof S> & {
      readonly section: keyof S;
    };
    if (!runner.owns.has(sectionWrite.section)) {
      throw new SectionOwnershipError(
        runner.controller.name,
        String(sectionWrite.section),
      );
    }
    const change = board.commit(sectionWrite);
    for (const reader of schedule.readers.get(change.section) ?? []) {
      noteChange(reader, change);
    }
  }
}

function createSchedule<S extends Sections, Observation, Order>(
  controllers: readonly AnyController<S, Observation, Order>[],
): Schedule<S, Observation, Order> {
  const runners = controllers.map(createRunner);
  const readers = new Map<keyof S, Runner<S, Observation, Order>[]>();
  for (const runner of runners) {
    for (const section of runner.controller.reads) {
      // A controller need not hear of the changes it made itself.
      if (!runner.owns.has(section)) {
        readers.set(section, [...(readers.get(section) ?? []), runner]);
      }
    }
  }
  return {runners, readers};
}

function createRunner<S extends Sections, Observation, Order>(
  controller: AnyController<S, Observation, Order>,
): Runner<S, Observation, Order> {
  return {
    controller,
    owns: new Set(controller.writes),
    observes: new Set(controller.observes),
    changed: new Map(),
  };
}

function checkWriters<S extends Sections, Observation, Order>(
  controllers: readonly AnyController<S, Observation, Order>[],
): void {
  const writers = new Map<keyof S, string>();
  for (const controller of controllers) {
    for (const section of controller.writes) {
      const first = writers.get(section);
      if (first !== undefined) {
        throw new DuplicateWriterError(String(section), first, controller.name);
      }
      writers.set(section, controller.name);
    }
  }
}
