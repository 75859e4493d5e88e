import {assertNever, SchedulerError} from '@gentianshunt/errors';
import BTreeModule from 'sorted-btree';

import type {OrderedEntry, OrderedView, Section} from './section.js';

// The package is CommonJS; its class is the `default` of what it exports.
const BTree = BTreeModule.default;
type Tree = InstanceType<typeof BTree<unknown, unknown>>;

/** The mutable state of a section, private to the board. */
export interface SectionStore {
  view(): unknown;
  set(value: unknown): void;
  put(key: unknown, value: unknown): void;
  delete(key: unknown): void;
}

/** A write of a kind that the section does not support. */
export class SectionKindError extends SchedulerError {
  constructor(operation: string, sectionKind: string) {
    super({
      code: 'ERR_SECTION_KIND',
      message: `a ${sectionKind} section does not support ${operation} writes`,
      origin: {step: 'commit', peer: 'self'},
    });
  }
}

/** Creates the store for a section's kind. */
export function createStore(section: Section): SectionStore {
  switch (section.kind) {
    case 'cell':
      return createCellStore(section.initial);
    case 'map':
      return createMapStore();
    case 'ordered':
      return createOrderedStore(section.compare);
    default:
      return assertNever(section, 'createStore');
  }
}

function createCellStore(initial: unknown): SectionStore {
  let current = initial;
  return {
    view: () => current,
    set: value => {
      current = value;
    },
    put: () => refuse('put', 'cell'),
    delete: () => refuse('delete', 'cell'),
  };
}

function createMapStore(): SectionStore {
  const entries = new Map<unknown, unknown>();
  return {
    view: () => entries,
    set: () => refuse('set', 'map'),
    put: (key, value) => entries.set(key, value),
    delete: key => entries.delete(key),
  };
}

function createOrderedStore(
  compare: (left: unknown, right: unknown) => number,
): SectionStore {
  const tree = new BTree<unknown, unknown>(undefined, compare);
  const view: OrderedView<unknown, unknown> = {
    get size() {
      return tree.size;
    },
    get: key => tree.get(key),
    has: key => tree.has(key),
    readFirst: () => readAt(tree, tree.minKey()),
    readLast: () => readAt(tree, tree.maxKey()),
    iterateFrom: key => iterateFrom(tree, key),
  };
  return {
    view: () => view,
    set: () => refuse('set', 'ordered'),
    put: (key, value) => tree.set(key, value),
    delete: key => tree.delete(key),
  };
}

function readAt(
  tree: Tree,
  key: unknown,
): OrderedEntry<unknown, unknown> | undefined {
  return tree.size === 0 ? undefined : {key, value: tree.get(key)};
}

function* iterateFrom(
  tree: Tree,
  from: unknown,
): IterableIterator<OrderedEntry<unknown, unknown>> {
  for (const [key, value] of tree.entries(from)) {
    yield {key, value};
  }
}

function refuse(operation: string, sectionKind: string): never {
  throw new SectionKindError(operation, sectionKind);
}
