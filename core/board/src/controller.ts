import type {MonotonicTime} from '@gentianshunt/clock';

import type {Sections, SectionView} from './section.js';
import type {Write} from './write.js';

/** The keys of a section that changed since the controller last ran. */
export type ChangedKeys = ReadonlySet<unknown>;

/** The instants a controller decides by, read once for each observation. */
export interface TurnTime {
  readonly monotonic: MonotonicTime;
  readonly wall: Date;
}

/** What a controller may read. */
export interface View<S extends Sections, Reads extends keyof S, Observation> {
  /**
   * The observation being handled. It is present only the first time a
   * controller runs in a turn; later runs of the turn see `undefined`.
   */
  readonly observation: Observation | undefined;
  /** The sections the controller declared. */
  readonly board: {readonly [Name in Reads]: SectionView<S[Name]>};
  /** Tells which keys of a section changed since this controller last ran. */
  readChanges(section: Reads): ChangedKeys;
}

/** A pure decision: reads its sections, returns writes to those it owns. */
export interface Controller<
  S extends Sections,
  Observation,
  Order,
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
  ): readonly Write<S, Writes, Order>[];
}

/** A controller whose section names are checked but no longer known. */
export interface AnyController<S extends Sections, Observation, Order> {
  readonly name: string;
  readonly reads: readonly (keyof S)[];
  readonly writes: readonly (keyof S)[];
  readonly observes: readonly string[];
  run(
    view: View<S, keyof S, Observation>,
    now: TurnTime,
  ): readonly Write<S, keyof S, Order>[];
}

/** Checks a controller's types and forgets its section names. */
export function defineController<
  S extends Sections,
  Observation extends {readonly kind: string},
  Order,
  Reads extends keyof S,
  Writes extends keyof S,
>(
  controller: Controller<S, Observation, Order, Reads, Writes> & {
    readonly observes: readonly Observation['kind'][];
  },
): AnyController<S, Observation, Order> {
  return controller as unknown as AnyController<S, Observation, Order>;
}
