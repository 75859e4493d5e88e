import {randomBytes, randomInt} from 'node:crypto';

import {toIdentifier} from '@gentianshunt/identifiers';
import type {Identifier} from '@gentianshunt/identifiers';

const ID_BYTES = 9;
const MAX_SEED = 2 ** 31;

/** Draws an identifier that no other start of any process will draw. */
export function drawIdentifier<Id extends Identifier<string>>(): Id {
  return toIdentifier<Id>(`r${randomBytes(ID_BYTES).toString('hex')}`);
}

/** Draws a seed for decisions that need jitter. */
export function drawSeed(): number {
  return randomInt(MAX_SEED);
}

/** Draws a number from 0 up to 1. */
export function drawFraction(): number {
  return randomInt(MAX_SEED) / MAX_SEED;
}
