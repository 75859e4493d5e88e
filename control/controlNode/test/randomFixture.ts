/** Random values that depend on a seed only. */
export interface Random {
  /** Draws an integer from `min` to `max`, both included. */
  drawInteger(min: number, max: number): number;
  /** Draws one of the values. */
  drawFrom<Value>(values: readonly Value[]): Value;
}

/** Creates a generator (mulberry32) from a seed. */
export function createRandom(seed: number): Random {
  let state = Math.imul(seed, 0x9e3779b1);
  const drawFraction = (): number => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
  const drawInteger = (min: number, max: number): number =>
    min + Math.floor(drawFraction() * (max - min + 1));
  return {
    drawInteger,
    drawFrom: values => values[drawInteger(0, values.length - 1)]!,
  };
}
