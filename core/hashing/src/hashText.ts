import type {Milliseconds} from '@gentianshunt/clock';
import murmurhash from 'murmurhash';

const HASH_RANGE = 2 ** 32;

/** Hashes a string to an unsigned 32-bit integer (MurmurHash3). */
export function hashText(text: string): number {
  return murmurhash.v3(text);
}

/** Hashes a string to a number from 0 (inclusive) to 1 (exclusive). */
export function hashToFraction(text: string): number {
  return hashText(text) / HASH_RANGE;
}

/** A delay, and a key that differs between those that wait. */
export interface JitterOptions {
  readonly baseMs: Milliseconds;
  readonly key: string;
}

/** Distributes delays evenly from the base up to twice the base, by key. */
export function jitterDelay(options: JitterOptions): Milliseconds {
  return Math.round(options.baseMs * (1 + hashToFraction(options.key)));
}
