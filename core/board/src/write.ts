import type {
  CellSection,
  MapSection,
  OrderedSection,
  Sections,
} from './section.js';

/** Replaces the value of a cell. */
export interface SetWrite<Name, Value> {
  readonly kind: 'set';
  readonly section: Name;
  readonly value: Value;
}

/** Inserts or replaces one entry of a map or ordered section. */
export interface PutWrite<Name, Key, Value> {
  readonly kind: 'put';
  readonly section: Name;
  readonly key: Key;
  readonly value: Value;
}

/** Removes one entry of a map or ordered section. */
export interface DeleteWrite<Name, Key> {
  readonly kind: 'delete';
  readonly section: Name;
  readonly key: Key;
}

/** Requests an effect; the loop executes it at the end of the turn. */
export interface EffectWrite<Effect> {
  readonly kind: 'effect';
  readonly effect: Effect;
}

/** The writes that fit one section. */
export type SectionWrite<S extends Sections, Name extends keyof S> =
  S[Name] extends CellSection<infer Value>
    ? SetWrite<Name, Value>
    : S[Name] extends MapSection<infer Key, infer Value>
      ? PutWrite<Name, Key, Value> | DeleteWrite<Name, Key>
      : S[Name] extends OrderedSection<infer Key, infer Value>
        ? PutWrite<Name, Key, Value> | DeleteWrite<Name, Key>
        : never;

/** The writes allowed to a controller that owns the named sections. */
export type Write<S extends Sections, Name extends keyof S, Effect> =
  {[N in Name]: SectionWrite<S, N>}[Name] | EffectWrite<Effect>;
