import type {Milliseconds} from '@gentianshunt/clock';
import murmurhash from 'murmurhash';

const HASH_RANGE = 2 ** 32;

/** Hashes a text to a whole number of 32 bits (MurmurHash3). */
export function hashText(text: string): number {
  return murmurhash.v3(text);
}

/** Hashes a text to a number from 0 up to 1. */
export function hashToFraction(text: string): number {
  return hashText(text) / HASH_RANGE;
}

/** A delay and what tells apart those who wait it. */
export interface SpreadOptions {
  readonly baseMs: Milliseconds;
  readonly key: string;
}

/** Spreads delays evenly from the base up to twice the base. */
export function spreadDelay(options: SpreadOptions): Milliseconds {
  return Math.round(options.baseMs * (1 + hashToFraction(options.key)));
}
