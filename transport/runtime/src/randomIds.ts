import {randomBytes, randomInt} from 'node:crypto';

import {toIdentifier} from '@gentianshunt/identifiers';
import type {Identifier} from '@gentianshunt/identifiers';

const IDENTIFIER_BYTES = 9;
const MAX_SEED = 2 ** 31;

/** Draws an identifier that is unique across processes and restarts. */
export function drawIdentifier<Id extends Identifier<string>>(): Id {
  return toIdentifier<Id>(`r${randomBytes(IDENTIFIER_BYTES).toString('hex')}`);
}

/** Draws a seed for the pseudorandom jitter of decisions. */
export function drawSeed(): number {
  return randomInt(MAX_SEED);
}

/** Draws a number from 0 to below 1. */
export function drawFraction(): number {
  return randomInt(MAX_SEED) / MAX_SEED;
}
