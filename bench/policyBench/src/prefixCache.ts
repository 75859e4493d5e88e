/** Remembers the prompt prefixes used last, in limited memory. */
export interface PrefixCache {
  /** Tells how many tokens of a prefix are at hand, and keeps it. */
  use(prefix: string, tokens: number): number;
}

/** Creates a cache that drops the prefix unused for longest. */
export function createPrefixCache(capacityTokens: number): PrefixCache {
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
