/** Gives each text of a message a number, in the order of first use. */
export interface WireTable<Item> {
  readonly items: readonly Item[];
  indexOf(item: Item): number;
}

/** Creates a table whose items are told apart by a text. */
export function createWireTable<Item>(
  readKey: (item: Item) => string,
): WireTable<Item> {
  const items: Item[] = [];
  const indexes = new Map<string, number>();
  return {
    items,
    indexOf: item => {
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
