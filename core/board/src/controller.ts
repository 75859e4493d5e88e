import type {Instant} from '@gentianshunt/clock';

import type {Sections, SectionView} from './section.js';
import type {Write} from './write.js';

/** The keys of a section that changed since the controller last ran. */
export type ChangedKeys = ReadonlySet<unknown>;

/** The current time, read once for each observation. */
export type TurnTime = Instant;

/** What a controller may read. */
export interface View<S extends Sections, Reads extends keyof S, Observation> {
  /**
   * The observation being handled. It is present only the first time a
   * controller runs in a turn; later runs of the turn see `undefined`.
   */
  readonly observation: Observation | undefined;
  /** The sections the controller declared. */
  readonly board: {readonly [Name in Reads]: SectionView<S[Name]>};
  /** Returns the keys of a section changed since this controller last ran. */
  readChanges(section: Reads): ChangedKeys;
}

/** A pure function that reads sections and returns writes to those it owns. */
export interface Controller<
  S extends Sections,
  Observation,
  Effect,
  Reads extends keyof S = keyof S,
  Writes extends keyof S = keyof S,
> {
  readonly name: string;
  readonly reads: readonly Reads[];
  readonly writes: readonly Writes[];
  /** Observation kinds the controller reacts to; others do not run it. */
  readonly observes: readonly string[];
  run(
    view: View<S, Reads, Observation>,
    now: TurnTime,
  ): readonly Write<S, Writes, Effect>[];
}

/** A controller whose section names are checked and erased from the type. */
export interface AnyController<S extends Sections, Observation, Effect> {
  readonly name: string;
  readonly reads: readonly (keyof S)[];
  readonly writes: readonly (keyof S)[];
  readonly observes: readonly string[];
  run(
    view: View<S, keyof S, Observation>,
    now: TurnTime,
  ): readonly Write<S, keyof S, Effect>[];
}

/** Checks a controller's types and erases its section names. */
export function defineController<
  S extends Sections,
  Observation extends {readonly kind: string},
  Effect,
  Reads extends keyof S,
  Writes extends keyof S,
>(
  controller: Controller<S, Observation, Effect, Reads, Writes> & {
    readonly observes: readonly Observation['kind'][];
  },
): AnyController<S, Observation, Effect> {
  return controller as unknown as AnyController<S, Observation, Effect>;
}
