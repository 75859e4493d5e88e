import {assertNever} from '@gentianshunt/errors';
import {isIdentifier} from '@gentianshunt/identifiers';

import {formatObjectKey, WEIGHT_STORE_ID} from './objects.js';
import type {ConfigurationObject, ObjectKey} from './objects.js';

/** Tells what is wrong with an object's values, if anything. */
export function checkObject(object: ConfigurationObject): string | undefined {
  if (!isIdentifier(object.id)) {
    return `identifier ${JSON.stringify(object.id)} is malformed`;
  }
  switch (object.kind) {
    case 'organisation':
      if (object.tiers.length === 0) {
        return 'an organisation needs at least one tier';
      }
      if (new Set(object.tiers).size < object.tiers.length) {
        return 'a tier is named twice';
      }
      return (
        checkPositive('weight', object.weight) ??
        checkLimit('maxRunning', object.limits.maxRunning) ??
        checkLimit('maxRequestsPerSecond', object.limits.maxRequestsPerSecond)
      );
    case 'tier':
      if (!Number.isInteger(object.rank) || object.rank < 1) {
        return 'rank must be a whole number from 1';
      }
      if (!(object.objective > 0 && object.objective < 1)) {
        return 'objective must lie between 0 and 1';
      }
      return (
        checkPositive('weight', object.weight) ??
        checkPositive('firstTokenTargetMs', object.firstTokenTargetMs)
      );
    case 'requestKind':
      return checkPositive('weight', object.weight);
    case 'weightStore':
      if (object.id !== WEIGHT_STORE_ID) {
        return `the weight store is called ${WEIGHT_STORE_ID}`;
      }
      return object.burst >= 1
        ? checkPositive('loadsPerMinute', object.loadsPerMinute)
        : 'burst must be 1 or more';
    case 'endpointSet':
    case 'endpointPolicy':
    case 'endpointOrder':
    case 'setLeadership':
      return undefined;
    default:
      return assertNever(object, 'checkObject');
  }
}

function checkPositive(name: string, value: number): string | undefined {
  return Number.isFinite(value) && value > 0
    ? undefined
    : `${name} must be above 0`;
}

function checkLimit(name: string, value: number | null): string | undefined {
  return value === null ? undefined : checkPositive(name, value);
}

/** Lists the objects that must exist for this one to be valid. */
export function listReferences(
  object: ConfigurationObject,
): readonly ObjectKey[] {
  switch (object.kind) {
    case 'organisation':
      return object.tiers.map(tier => formatObjectKey('tier', tier));
    case 'setLeadership':
      return [formatObjectKey('endpointSet', object.id)];
    case 'tier':
    case 'endpointSet':
    case 'requestKind':
    case 'endpointPolicy':
    case 'endpointOrder':
    case 'weightStore':
      return [];
    default:
      return assertNever(object, 'listReferences');
  }
}
