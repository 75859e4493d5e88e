/**
 * Numbers the distinct items of a message in the order of first use. Each item
 * is sent once, and every use of it as an index.
 */
export interface WireTable<Item> {
  readonly items: readonly Item[];
  /** Returns the index of an item, adding the item if it is new. */
  assignIndex(item: Item): number;
}

/** Creates a table whose items are distinguished by a text key. */
export function createWireTable<Item>(
  readKey: (item: Item) => string,
): WireTable<Item> {
  const items: Item[] = [];
  const indexes = new Map<string, number>();
  return {
    items,
    assignIndex: item => {
      const key = readKey(item);
      const known = indexes.get(key);
      if (known !== undefined) {
        return known;
      }
      indexes.set(key, items.length);
      items.push(item);
      return items.length - 1;
    },
  };
}
