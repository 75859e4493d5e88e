/** Remembers the prompt prefixes used last, in limited memory. */
export interface PrefixCache {
  /** Tells how many tokens of a prefix are at hand, and keeps it. */
  use(prefix: string, tokens: number): number;
}

/** Creates a cache that drops the prefix unused for longest. */
export function createPrefixCache(capacityTokens: number): PrefixCache {
  const held = new Map<string, number>();
  let total = 0;
  return {
    use: (prefix, tokens) => {
      const known = held.get(prefix) ?? 0;
      held.delete(prefix);
      const kept = Math.max(known, tokens);
      held.set(prefix, kept);
      total += kept - known;
      for (const [oldest, size] of held) {
        if (total <= capacityTokens) {
          break;
        }
        held.delete(oldest);
        total -= size;
      }
      return Math.min(known, tokens);
    },
  };
}
