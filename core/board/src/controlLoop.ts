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

interface Runner<S extends Sections, Observation, Order> {
  readonly controller: AnyController<S, Observation, Order>;
  readonly reads: ReadonlySet<keyof S>;
  readonly owns: ReadonlySet<keyof S>;
  readonly observes: ReadonlySet<string>;
  /** Position in the turn's journal up to which changes were seen. */
  seen: number;
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
  const runners = options.controllers.map(createRunner);
  const pending: Observation[] = [];
  let running = false;
  const post = (observation: Observation): void => {
    pending.push(observation);
    if (running) {
      return;
    }
    running = true;
    try {
      drainPending(pending, board, runners, options);
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
  runners: readonly Runner<S, Observation, Order>[],
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
    for (const order of runTurn(board, runners, observation, now)) {
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
  runners: readonly Runner<S, Observation, Order>[],
  observation: Observation,
  now: TurnTime,
): readonly Order[] {
  const journal: Change<S>[] = [];
  const outbox: Order[] = [];
  for (const runner of runners) {
    runner.seen = 0;
  }
  for (let round = 0; round < MAX_ROUNDS_PER_TURN; round += 1) {
    let ran = false;
    for (const runner of runners) {
      const observed =
        round === 0 && runner.observes.has(observation.kind)
          ? observation
          : undefined;
      const changed = readChanged(journal, runner);
      runner.seen = journal.length;
      if (observed === undefined && changed.size === 0) {
        continue;
      }
      ran = true;
      const view = createView(board, observed, changed);
      commitWrites(board, runner, runner.controller.run(view, now), {
        journal,
        outbox,
      });
    }
    if (!ran) {
      return outbox;
    }
  }
  throw new UnsettledTurnError(
    runners.map(runner => runner.controller.name),
    MAX_ROUNDS_PER_TURN,
  );
}

function readChanged<S extends Sections, Observation, Order>(
  journal: readonly Change<S>[],
  runner: Runner<S, Observation, Order>,
): ReadonlyMap<keyof S, ChangedKeys> {
  const changed = new Map<keyof S, Set<unknown>>();
  for (let index = runner.seen; index < journal.length; index += 1) {
    const change = journal[index]!;
    if (!runner.reads.has(change.section)) {
      continue;
    }
    const keys = changed.get(change.section);
    if (keys === undefined) {
      changed.set(change.section, new Set([change.key]));
    } else {
      keys.add(change.key);
    }
  }
  return changed;
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

interface TurnLog<S extends Sections, Order> {
  readonly journal: Change<S>[];
  readonly outbox: Order[];
}

function commitWrites<S extends Sections, Observation, Order>(
  board: Board<S>,
  runner: Runner<S, Observation, Order>,
  writes: readonly Write<S, keyof S, Order>[],
  log: TurnLog<S, Order>,
): void {
  for (const write of writes) {
    if (write.kind === 'order') {
      log.outbox.push(write.order);
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
    log.journal.push(board.commit(sectionWrite));
  }
}

function createRunner<S extends Sections, Observation, Order>(
  controller: AnyController<S, Observation, Order>,
): Runner<S, Observation, Order> {
  return {
    controller,
    // A controller need not hear of the changes it made itself.
    reads: new Set(
      controller.reads.filter(name => !controller.writes.includes(name)),
    ),
    owns: new Set(controller.writes),
    observes: new Set(controller.observes),
    seen: 0,
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
