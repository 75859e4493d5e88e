/** An engine's cache of the prompt prefixes that were used last. */
export interface PrefixCache {
  /** Caches a prefix; returns how many of its tokens were already cached. */
  use(prefix: string, tokens: number): number;
}

/** Creates a cache that evicts the least recently used prefixes. */
export function createPrefixCache(capacityTokens: number): PrefixCache {
  // Maps iterate in insertion order: the least recently used prefix is first.
  const cachedTokens = new Map<string, number>();
  let totalTokens = 0;
  return {
    use: (prefix, tokens) => {
      const cached = cachedTokens.get(prefix) ?? 0;
      cachedTokens.delete(prefix);
      const updated = Math.max(cached, tokens);
      cachedTokens.set(prefix, updated);
      totalTokens += updated - cached;
      for (const [oldest, size] of cachedTokens) {
        if (totalTokens <= capacityTokens) {
          break;
        }
        cachedTokens.delete(oldest);
        totalTokens -= size;
      }
      return Math.min(cached, tokens);
    },
  };
}
