import {assertNever} from '@gentianshunt/errors';
import {isIdentifier} from '@gentianshunt/identifiers';

import {formatObjectKey, RELEASE_ID, WEIGHT_STORE_ID} from './objects.js';
import type {
  ConfigurationObject,
  ObjectKey,
  Route,
  TokenQuota,
} from './objects.js';
import {isQuotaSet, QUOTA_SET_PREFIX} from './quotaSets.js';

/** Checks the values of an object; returns why one is invalid, if any. */
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
        checkLimit(
          'maxRequestsPerSecond',
          object.limits.maxRequestsPerSecond,
        ) ??
        checkTokenQuota(object.limits.tokens ?? null)
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
    case 'route':
      return checkRoute(object);
    case 'release':
      return object.id === RELEASE_ID
        ? undefined
        : `the release is called ${RELEASE_ID}`;
    case 'endpointSet':
      return isQuotaSet(object.id) === (object.service.kind === 'quotas')
        ? undefined
        : `names that begin with ${QUOTA_SET_PREFIX} are reserved`;
    case 'endpointPolicy':
    case 'promptPolicy':
    case 'endpointOrder':
    case 'setLeadership':
      return undefined;
    default:
      return assertNever(object, 'checkObject');
  }
}

function checkRoute(route: Route): string | undefined {
  const {host, pathPrefix, shares} = route;
  if (host === '') {
    return 'host must not be empty';
  }
  if (!pathPrefix.startsWith('/') || !pathPrefix.endsWith('/')) {
    return 'pathPrefix must begin and end with a slash';
  }
  if (!Number.isInteger(route.maxAttempts) || route.maxAttempts < 1) {
    return 'maxAttempts must be a whole number from 1';
  }
  if (shares.some(({weight}) => !(Number.isFinite(weight) && weight >= 0))) {
    return 'a share must have a weight of 0 or more';
  }
  return (
    checkPositive(
      'the sum of the weights of the shares',
      shares.reduce((sum, {weight}) => sum + weight, 0),
    ) ??
    checkPositive('timeoutMs', route.timeoutMs) ??
    checkPositive('objectiveMs', route.objectiveMs) ??
    checkPositive('patienceMs', route.patienceMs)
  );
}

function checkTokenQuota(tokens: TokenQuota | null): string | undefined {
  return tokens === null
    ? undefined
    : (checkPositive('tokensPerSecond', tokens.tokensPerSecond) ??
        checkPositive('burstTokens', tokens.burstTokens) ??
        checkPositive('defaultTokens', tokens.defaultTokens));
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
    case 'route':
      return [
        formatObjectKey('requestKind', object.requestKind),
        formatObjectKey('tier', object.tier),
        ...object.shares.map(({set}) => formatObjectKey('endpointSet', set)),
      ];
    case 'tier':
    case 'endpointSet':
    case 'requestKind':
    case 'endpointPolicy':
    case 'promptPolicy':
    case 'endpointOrder':
    case 'weightStore':
    case 'release':
      return [];
    default:
      return assertNever(object, 'listReferences');
  }
}
