import type {OrderedEntry, OrderedView} from './section.js';

/** Iterates from a key while a predicate of the key is true. */
export function* iterateWhile<Key, Value>(
  view: Pick<OrderedView<Key, Value>, 'iterateFrom'>,
  from: Key,
  holds: (key: Key) => boolean,
): IterableIterator<OrderedEntry<Key, Value>> {
  for (const entry of view.iterateFrom(from)) {
    if (!holds(entry.key)) {
      return;
    }
    yield entry;
  }
}
