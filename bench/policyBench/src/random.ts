import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Draws random numbers that depend only on a seed. */
export interface Random {
  /** Draws a number from [0, 1). */
  drawUniform(): number;
  /** Draws from an exponential distribution. */
  drawExponential(mean: number): number;
  /** Draws from a log-normal distribution given its median. */
  drawLogNormal(median: number, sigma: number): number;
  /** Draws a whole number log-uniformly from a range. */
  drawLength(range: LengthRange): number;
  /** Draws an item in proportion to its weight. */
  drawWeighted<Item extends {readonly weight: number}>(
    items: readonly Item[],
  ): Item;
}

/** The shortest and longest length, in tokens. */
export interface LengthRange {
  readonly min: number;
  readonly max: number;
}

/** 2^32 divided by the golden ratio; multiplying by it scatters the seeds. */
const GOLDEN_RATIO_MULTIPLIER = 0x9e3779b9;

/** Creates one of several independent random streams of a seed. */
export function createRandom(seed: number, stream: number): Random {
  const mixed =
    Math.imul(seed + 1, GOLDEN_RATIO_MULTIPLIER) ^ Math.imul(stream + 7, 31);
  const generator = xoroshiro128plus(mixed);
  const drawUniform = (): number => uniformFloat64(generator);
  const drawNormal = (): number => {
    const radius = Math.sqrt(-2 * Math.log(1 - drawUniform()));
    return radius * Math.cos(2 * Math.PI * drawUniform());
  };
  return {
    drawUniform,
    drawExponential: mean => -mean * Math.log(1 - drawUniform()),
    drawLogNormal: (median, sigma) => median * Math.exp(sigma * drawNormal()),
    drawLength: ({min, max}) => Math.round(min * (max / min) ** drawUniform()),
    drawWeighted: items => drawWeighted(items, drawUniform()),
  };
}

function drawWeighted<Item extends {readonly weight: number}>(
  items: readonly Item[],
  uniform: number,
): Item {
  const total = items.reduce((sum, item) => sum + item.weight, 0);
  let remaining = uniform * total;
  for (const item of items) {
    remaining -= item.weight;
    if (remaining < 0) {
      return item;
    }
  }
  return items[items.length - 1]!;
}
