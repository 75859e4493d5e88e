import type {Milliseconds} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import type {
  ConfigurationTable,
  Organisation,
  Route,
} from '@gentianshunt/configuration';
import type {
  RefusalReason,
  RequestAttributes,
  ResumedStream,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import {hashToFraction} from '@gentianshunt/hashing';
import type {
  EndpointSetId,
  OrganisationId,
  PromptPartId,
  RequestId,
} from '@gentianshunt/identifiers';

import type {Credential, RoutingTable} from './routingTable.js';

/** Organisation of calls without a key, on routes that allow them. */
export const ANONYMOUS = 'anonymous' as OrganisationId;

/** Attributes of a call, read from the head of its HTTP request. */
export interface CallAttributes {
  readonly id: RequestId;
  readonly host: string;
  readonly path: string;
  /** The API key that the caller sent; `null` when it sent none. */
  readonly key: string | null;
  /** How much longer the caller waits; `null` when not declared. */
  readonly timeLeftMs: Milliseconds | null;
  /** The size that the caller declared; `null` when it declared none. */
  readonly size: CallSize | null;
  /** Identifies the prefix of the prompt, for prefix caches. */
  readonly prefix: string | null;
  /** The parts of the prompt in their order, without the last one. */
  readonly promptParts: readonly PromptPartId[];
  /** The stream that the call takes up again; `null` if it starts one. */
  readonly resumed: ResumedStream | null;
}

/** The size of a call to a model, in tokens. */
export interface CallSize {
  readonly promptTokens: number;
  readonly maxAnswerTokens: number;
}

/** Why a call cannot become a request. */
export type UnresolvedReason = Extract<
  RefusalReason,
  {readonly kind: 'noConfiguration' | 'unknownRoute' | 'unknownKey'}
>;

/** A call with its route, or the reason why it is refused. */
export type RoutedCall =
  | {
      readonly kind: 'resolved';
      readonly route: Route;
      readonly attributes: RequestAttributes;
    }
  | {readonly kind: 'refused'; readonly reason: UnresolvedReason};

/** Finds the route, the organisation and the endpoint set of a call. */
export function routeCall(
  table: RoutingTable,
  configuration: ConfigurationTable,
  call: CallAttributes,
): RoutedCall {
  if (table.release === undefined) {
    return {kind: 'refused', reason: {kind: 'noConfiguration'}};
  }
  const route = table.findRoute(call.host, call.path);
  if (route === undefined) {
    return {kind: 'refused', reason: {kind: 'unknownRoute'}};
  }
  const credential = table.checkKey(call.key);
  const organisation = findCaller(configuration, route, credential);
  if (organisation === undefined) {
    return {kind: 'refused', reason: {kind: 'unknownKey'}};
  }
  return {
    kind: 'resolved',
    route,
    attributes: toRequestAttributes(route, organisation, call),
  };
}

/**
 * Finds the organisation of a caller. A route that accepts calls without a key does
 * not accept keys that nobody has: one that was revoked must not work anywhere.
 */
function findCaller(
  configuration: ConfigurationTable,
  route: Route,
  credential: Credential,
): Organisation | undefined {
  switch (credential.kind) {
    case 'ignored':
    case 'missing':
      return route.isAnonymous
        ? findObject(configuration, 'organisation', ANONYMOUS)
        : undefined;
    case 'unknown':
      return undefined;
    case 'valid':
      return credential.organisation;
    default:
      return assertNever(credential, 'findCaller');
  }
}

function toRequestAttributes(
  route: Route,
  organisation: Organisation,
  call: CallAttributes,
): RequestAttributes {
  const {size} = call;
  const tokens = size && size.promptTokens + size.maxAnswerTokens;
  const {timeoutMs} = route;
  const timeLimitMs = Math.min(timeoutMs, call.timeLeftMs ?? timeoutMs);
  return {
    id: call.id,
    organisation: organisation.id,
    tier: route.tier,
    // A stream goes on in the set that began it.
    set: pickSet(route, call.resumed?.attempt ?? call.id),
    kind: route.requestKind,
    claim: null,
    promptTokens: size?.promptTokens ?? 0,
    maxTokens: size?.maxAnswerTokens ?? 0,
    prefix: call.prefix,
    ...(call.promptParts.length === 0 ? {} : {promptParts: call.promptParts}),
    ...(call.resumed !== null && route.isStream && route.isResumable
      ? {resumed: call.resumed}
      : {}),
    routePolicy: {
      route: route.id,
      maxAttempts: route.maxAttempts,
      timeLimitMs,
      objectiveMs: route.objectiveMs,
      patienceMs: Math.min(route.patienceMs, timeLimitMs),
      isResumable: route.isResumable,
      isStream: route.isStream,
      quotaTokens: tokens ?? organisation.limits.tokens?.defaultTokens ?? 0,
      ...(organisation.name === undefined
        ? {}
        : {organisationName: organisation.name}),
    },
  };
}

/** Distributes the calls of a route over its sets by their weights. */
function pickSet({shares}: Route, id: RequestId): EndpointSetId {
  const total = shares.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = hashToFraction(id) * total;
  const picked = shares.find(({weight}) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (picked ?? shares[shares.length - 1]!).set;
}
