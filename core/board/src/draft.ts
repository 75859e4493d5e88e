import BTreeModule from 'sorted-btree';

import type {OrderedEntry, OrderedView} from './section.js';
import type {DeleteWrite, PutWrite} from './write.js';

// The package is CommonJS; its class is the `default` of what it exports.
const BTree = BTreeModule.default;

/** The writes that bring a section to the state of its draft. */
export type DraftWrites<Name, Key, Value> = readonly (
  PutWrite<Name, Key, Value> | DeleteWrite<Name, Key>
)[];

/** Buffered changes to a map section, visible to later reads of the draft. */
export interface MapDraft<Key, Value> {
  get(key: Key): Value | undefined;
  put(key: Key, value: Value): void;
  delete(key: Key): void;
  /** Lists one write for each changed key. */
  listWrites<Name>(section: Name): DraftWrites<Name, Key, Value>;
}

/** Buffered changes to an ordered section, visible to later reads. */
export interface OrderedDraft<Key, Value> extends MapDraft<Key, Value> {
  /** Counts the entries of the section with the changes. */
  readonly size: number;
  /** Iterates the section with the changes, in ascending order. */
  iterateFrom(key?: Key): IterableIterator<OrderedEntry<Key, Value>>;
}

type Drafted<Value> = {readonly value: Value} | null;

/** Creates an empty draft of a map section. */
export function createMapDraft<Key, Value>(
  view: ReadonlyMap<Key, Value>,
): MapDraft<Key, Value> {
  const changed = new Map<Key, Drafted<Value>>();
  return {
    get: key => {
      const drafted = changed.get(key);
      return drafted === undefined ? view.get(key) : drafted?.value;
    },
    put: (key, value) => changed.set(key, {value}),
    delete: key => changed.set(key, null),
    listWrites: section => listDraftWrites(changed, section),
  };
}

/** The section that a draft changes, and its order. */
export interface OrderedDraftOptions<Key, Value> {
  readonly view: OrderedView<Key, Value>;
  readonly compare: (left: Key, right: Key) => number;
}

/** Creates an empty draft of an ordered section. */
export function createOrderedDraft<Key, Value>(
  options: OrderedDraftOptions<Key, Value>,
): OrderedDraft<Key, Value> {
  const {view, compare} = options;
  const changed = new BTree<Key, Drafted<Value>>(undefined, compare);
  let size = view.size;
  const has = (key: Key): boolean => {
    const drafted = changed.get(key);
    return drafted === undefined ? view.has(key) : drafted !== null;
  };
  return {
    get size() {
      return size;
    },
    get: key => {
      const drafted = changed.get(key);
      return drafted === undefined ? view.get(key) : drafted?.value;
    },
    put: (key, value) => {
      size += has(key) ? 0 : 1;
      changed.set(key, {value});
    },
    delete: key => {
      size -= has(key) ? 1 : 0;
      changed.set(key, null);
    },
    iterateFrom: key =>
      mergeEntries(
        view.iterateFrom(key),
        changed.entries(key),
        compare,
      ) as IterableIterator<OrderedEntry<Key, Value>>,
    listWrites: section => listDraftWrites(changed.entries(), section),
  };
}

function listDraftWrites<Name, Key, Value>(
  changed: Iterable<[Key, Drafted<Value>]>,
  section: Name,
): DraftWrites<Name, Key, Value> {
  return Array.from(changed, ([key, drafted]) =>
    drafted === null
      ? {kind: 'delete', section, key}
      : {kind: 'put', section, key, value: drafted.value},
  );
}

/** Merges two ascending sequences; a changed entry replaces the viewed one. */
function* mergeEntries<Key, Value>(
  viewed: Iterator<OrderedEntry<Key, Value>>,
  changed: Iterator<[Key, Drafted<Value>]>,
  compare: (left: Key, right: Key) => number,
): IterableIterator<OrderedEntry<Key, Value>> {
  let left = viewed.next();
  let right = changed.next();
  while (left.done !== true || right.done !== true) {
    const order =
      left.done === true
        ? 1
        : right.done === true
          ? -1
          : compare(left.value.key, right.value[0]);
    if (order < 0) {
      yield left.value as OrderedEntry<Key, Value>;
      left = viewed.next();
      continue;
    }
    const [key, drafted] = right.value as [Key, Drafted<Value>];
    if (drafted !== null) {
      yield {key, value: drafted.value};
    }
    right = changed.next();
    left = order === 0 ? viewed.next() : left;
  }
}
