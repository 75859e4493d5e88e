/** A section holding one read-only value. */
export interface CellSection<Value> {
  readonly kind: 'cell';
  readonly initial: Value;
}

/** A section holding read-only values by key. */
export interface MapSection<Key extends string, Value> {
  readonly kind: 'map';
  /** Never present; carries the types. */
  readonly types?: {readonly key: Key; readonly value: Value};
}

/** A section holding values ordered by a compound key. */
export interface OrderedSection<Key, Value> {
  readonly kind: 'ordered';
  readonly compare: (left: Key, right: Key) => number;
  /** Never present; carries the types. */
  readonly types?: {readonly value: Value};
}

/** The kinds of section a board can have. */
export type Section =
  | CellSection<unknown>
  | MapSection<string, unknown>
  // The ordering key is contravariant, so no single key type fits them all.
  // eslint-disable-next-line @typescript-eslint/no-explicit-any
  | OrderedSection<any, unknown>;

/** The sections of a board by name. */
export type Sections = Readonly<Record<string, Section>>;

/** A read-only view of an ordered section. */
export interface OrderedView<Key, Value> {
  readonly size: number;
  get(key: Key): Value | undefined;
  has(key: Key): boolean;
  /** Returns the entry with the lowest key. */
  readFirst(): OrderedEntry<Key, Value> | undefined;
  /** Returns the entry with the highest key. */
  readLast(): OrderedEntry<Key, Value> | undefined;
  /** Iterates from the given key, or from the lowest, in ascending order. */
  iterateFrom(key?: Key): IterableIterator<OrderedEntry<Key, Value>>;
}

/** One entry of an ordered section. */
export interface OrderedEntry<Key, Value> {
  readonly key: Key;
  readonly value: Value;
}

/** The read-only view that controllers get of a section. */
export type SectionView<S extends Section> =
  S extends CellSection<infer Value>
    ? Value
    : S extends MapSection<infer Key, infer Value>
      ? ReadonlyMap<Key, Value>
      : S extends OrderedSection<infer Key, infer Value>
        ? OrderedView<Key, Value>
        : never;

/** Defines a section that holds one value. */
export function defineCell<Value>(initial: Value): CellSection<Value> {
  return {kind: 'cell', initial};
}

/** Defines a section that holds values by key. */
export function defineMap<Key extends string, Value>(): MapSection<Key, Value> {
  return {kind: 'map'};
}

/** Defines a section that keeps its entries ordered by key. */
export function defineOrdered<Key, Value>(
  compare: (left: Key, right: Key) => number,
): OrderedSection<Key, Value> {
  return {kind: 'ordered', compare};
}
