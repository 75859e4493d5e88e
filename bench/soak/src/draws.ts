import {createRandom} from '@gentianshunt/policyBench';
import type {Random} from '@gentianshunt/policyBench';

/** Draws after which streams of neighbouring numbers have nothing in common. */
const DISCARDED_DRAWS = 16;

/** Creates one of many independent random streams of a seed. */
export function createStream(seed: number, stream: number): Random {
  const random = createRandom(seed, stream);
  for (let draw = 0; draw < DISCARDED_DRAWS; draw += 1) {
    random.drawUniform();
  }
  return random;
}

/** Draws a number from a range, evenly. */
export function drawBetween(random: Random, min: number, max: number): number {
  return min + (max - min) * random.drawUniform();
}

/** Draws a whole number below a count. */
export function drawIndex(random: Random, count: number): number {
  return Math.floor(random.drawUniform() * count);
}

/** Draws one of several items, evenly. */
export function drawItem<Item>(random: Random, items: readonly Item[]): Item {
  return items[drawIndex(random, items.length)]!;
}

/** Draws whether something with a probability happens. */
export function drawChance(random: Random, probability: number): boolean {
  return random.drawUniform() < probability;
}

/** Draws different numbers below a count. */
export function drawIndices(
  random: Random,
  count: number,
  size: number,
): readonly number[] {
  const left = Array.from({length: count}, (_, index) => index);
  return Array.from(
    {length: Math.min(size, count)},
    () => left.splice(drawIndex(random, left.length), 1)[0]!,
  );
}
