import {readInstant} from '@gentianshunt/clock';
import type {Clock} from '@gentianshunt/clock';

import {createBoard} from './board.js';
import type {Board, BoardView, Change} from './board.js';
import {
  ControllerFailedError,
  DuplicateWriterError,
  SectionOwnershipError,
  UnsettledTurnError,
} from './boardErrors.js';
import type {AnyController, ChangedKeys, TurnTime, View} from './controller.js';
import type {Sections} from './section.js';
import type {SectionWrite, Write} from './write.js';

/** The most rounds of controllers in one turn. */
export const MAX_ROUNDS_PER_TURN = 64;

/** The parts of a control loop. */
export interface ControlLoopOptions<S extends Sections, Observation, Effect> {
  readonly sections: S;
  readonly controllers: readonly AnyController<S, Observation, Effect>[];
  readonly clock: Clock;
  /** Executes an effect; it must not throw and must not block. */
  readonly perform: (effect: Effect) => void;
}

/** Processes observations one at a time and executes the resulting effects. */
export interface ControlLoop<S extends Sections, Observation> {
  readonly view: BoardView<S>;
  /**
   * Queues an observation and processes it after all earlier ones. Throws the
   * first error of a turn, once the queue is empty.
   */
  post(observation: Observation): void;
}

const NO_CHANGES: ChangedKeys = new Set();

/** A controller, with the changes that it has not yet seen. */
interface Runner<S extends Sections, Observation, Effect> {
  readonly controller: AnyController<S, Observation, Effect>;
  readonly owns: ReadonlySet<keyof S>;
  readonly observes: ReadonlySet<string>;
  /** Keys changed since the controller last ran, by section. */
  changed: Map<keyof S, Set<unknown>>;
}

/** The controllers in the order they run, and the readers of each section. */
interface Schedule<S extends Sections, Observation, Effect> {
  readonly runners: readonly Runner<S, Observation, Effect>[];
  readonly readers: ReadonlyMap<
    keyof S,
    readonly Runner<S, Observation, Effect>[]
  >;
}

/** Creates a loop; controllers run only while it processes observations. */
export function createControlLoop<
  S extends Sections,
  Observation extends {readonly kind: string},
  Effect,
>(
  options: ControlLoopOptions<S, Observation, Effect>,
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
  Effect,
>(
  pending: Observation[],
  board: Board<S>,
  schedule: Schedule<S, Observation, Effect>,
  options: ControlLoopOptions<S, Observation, Effect>,
): void {
  const failures: unknown[] = [];
  for (;;) {
    const observation = pending.shift();
    if (observation === undefined) {
      break;
    }
    const now = readInstant(options.clock);
    try {
      for (const effect of runTurn(board, schedule, observation, now)) {
        options.perform(effect);
      }
    } catch (error) {
      failures.push(error);
    }
  }
  if (failures.length > 0) {
    throw failures[0];
  }
}

function runTurn<
  S extends Sections,
  Observation extends {readonly kind: string},
  Effect,
>(
  board: Board<S>,
  schedule: Schedule<S, Observation, Effect>,
  observation: Observation,
  now: TurnTime,
): readonly Effect[] {
  const outbox: Effect[] = [];
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
      const writes = runController(runner.controller, view, now, observation);
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

function runController<
  S extends Sections,
  Observation extends {readonly kind: string},
  Effect,
>(
  controller: AnyController<S, Observation, Effect>,
  view: View<S, keyof S, Observation>,
  now: TurnTime,
  {kind}: Observation,
): readonly Write<S, keyof S, Effect>[] {
  try {
    return controller.run(view, now);
  } catch (error) {
    throw new ControllerFailedError(controller.name, kind, error);
  }
}

function takeChanged<S extends Sections, Observation, Effect>(
  runner: Runner<S, Observation, Effect>,
): ReadonlyMap<keyof S, ChangedKeys> {
  const {changed} = runner;
  if (changed.size > 0) {
    runner.changed = new Map();
  }
  return changed;
}

function recordChange<S extends Sections, Observation, Effect>(
  runner: Runner<S, Observation, Effect>,
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

function commitWrites<S extends Sections, Observation, Effect>(
  board: Board<S>,
  schedule: Schedule<S, Observation, Effect>,
  runner: Runner<S, Observation, Effect>,
  writes: readonly Write<S, keyof S, Effect>[],
  outbox: Effect[],
): void {
  for (const write of writes) {
    if (write.kind === 'effect') {
      outbox.push(write.effect);
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
      recordChange(reader, change);
    }
  }
}

function createSchedule<S extends Sections, Observation, Effect>(
  controllers: readonly AnyController<S, Observation, Effect>[],
): Schedule<S, Observation, Effect> {
  const runners = controllers.map(createRunner);
  const readers = new Map<keyof S, Runner<S, Observation, Effect>[]>();
  for (const runner of runners) {
    for (const section of runner.controller.reads) {
      // A controller is not notified of its own changes.
      if (!runner.owns.has(section)) {
        readers.set(section, [...(readers.get(section) ?? []), runner]);
      }
    }
  }
  return {runners, readers};
}

function createRunner<S extends Sections, Observation, Effect>(
  controller: AnyController<S, Observation, Effect>,
): Runner<S, Observation, Effect> {
  return {
    controller,
    owns: new Set(controller.writes),
    observes: new Set(controller.observes),
    changed: new Map(),
  };
}

function checkWriters<S extends Sections, Observation, Effect>(
  controllers: readonly AnyController<S, Observation, Effect>[],
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
