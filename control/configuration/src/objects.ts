import type {
  EndpointDirective,
  OrderState,
  WeightStoreRate,
} from '@gentianshunt/orders';
import {DEFAULT_WEIGHT_STORE_RATE} from '@gentianshunt/orders';
import type {
  EndpointId,
  EndpointSetId,
  Identifier,
  NodeId,
  OrganisationId,
  FingerprintId,
  RegionId,
  RequestKindId,
  RouteId,
  TierId,
} from '@gentianshunt/identifiers';

/** How often an object has been written; 1 for a new object. */
export type Revision = number;

/** Token quota of an organisation across all sets and entries. */
export interface TokenQuota {
  /** Rate at which the quota refills. */
  readonly tokensPerSecond: number;
  /** Maximum number of unused tokens that accumulate. */
  readonly burstTokens: number;
  /** Tokens charged for a request of unknown size. */
  readonly defaultTokens: number;
}

/** Limits of an organisation across all entries. */
export interface OrganisationLimits {
  /** Maximum number of running requests; `null` sets no limit. */
  readonly maxRunning: number | null;
  /** Maximum number of new requests per second; `null` sets no limit. */
  readonly maxRequestsPerSecond: number | null;
  /** Token quota; absent or `null` sets no limit. */
  readonly tokens?: TokenQuota | null;
}

/** A customer of the deployment. */
export interface Organisation {
  readonly kind: 'organisation';
  readonly id: OrganisationId;
  readonly revision: Revision;
  /** Fair share of a tier's capacity, relative to other organisations. */
  readonly weight: number;
  /** Tiers that its requests may use; the first is the default. */
  readonly tiers: readonly TierId[];
  readonly limits: OrganisationLimits;
  /** Added to the tier's rank, so that its requests are served later. */
  readonly rankOffset?: number;
  /** Keys that identify callers of routes as part of the organisation. */
  readonly keys?: readonly string[];
  /** What endpoints of routes are told; the identifier if it is absent. */
  readonly name?: string;
}

/** A class of service that requests belong to. */
export interface Tier {
  readonly kind: 'tier';
  readonly id: TierId;
  readonly revision: Revision;
  /** Priority; rank 1 is served first and shed last. */
  readonly rank: number;
  /** Value of an answered request, relative to other tiers. */
  readonly weight: number;
  /** Target of the time to the first token, in milliseconds. */
  readonly firstTokenTargetMs: number;
  /** Fraction of requests that must meet the target, from 0 to 1. */
  readonly objective: number;
}

/** What the endpoints of a set run. A quota set has no endpoints. */
export type EndpointService =
  | {readonly kind: 'model'; readonly model: string}
  | {readonly kind: 'plain'; readonly service: string}
  | {readonly kind: 'quotas'};

/** A named group of endpoints that can serve the same requests. */
export interface EndpointSet {
  readonly kind: 'endpointSet';
  readonly id: EndpointSetId;
  readonly revision: Revision;
  readonly region: RegionId;
  readonly service: EndpointService;
  /** Path of the health check of the set's endpoints. */
  readonly healthPath?: string;
  /** Maximum number of connections to one endpoint from all entries. */
  readonly maxConnections?: number;
}

/** A kind of request, with the rules for retrying and weighting it. */
export interface RequestKind {
  readonly kind: 'requestKind';
  readonly id: RequestKindId;
  readonly revision: Revision;
  /** Whether the request may safely run more than once. */
  readonly idempotent: boolean;
  /** Weight of an answered request in the goodput of its tier. */
  readonly weight: number;
  /**
   * Whether each call counts as a separate request, so that a non-idempotent
   * one needs neither an idempotency key nor a claim.
   */
  readonly isUnclaimed?: boolean;
}

/** An endpoint set that receives a weighted fraction of a route's calls. */
export interface WeightedEndpointSet {
  readonly set: EndpointSetId;
  readonly weight: number;
}

/** Maps the calls to a host and path prefix to endpoint sets. */
export interface Route {
  readonly kind: 'route';
  readonly id: RouteId;
  readonly revision: Revision;
  readonly host: string;
  /** Begins and ends with a slash; the longest match of a path wins. */
  readonly pathPrefix: string;
  readonly requestKind: RequestKindId;
  readonly tier: TierId;
  /** The endpoint sets that receive the calls, with their weights. */
  readonly shares: readonly WeightedEndpointSet[];
  /** Maximum number of endpoints that one call is dispatched to. */
  readonly maxAttempts: number;
  /** Time within which a call gets its final answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Objective for the time to the first byte, in milliseconds. */
  readonly objectiveMs: number;
  /** How long callers wait without receiving a byte, in milliseconds. */
  readonly patienceMs: number;
  /** Whether calls without a key are accepted. */
  readonly isAnonymous: boolean;
  /** Whether a broken stream may be resumed at another endpoint. */
  readonly isResumable: boolean;
  /** Whether answers are streamed. */
  readonly isStream: boolean;
}

/** Limits on the size and timing of what callers send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Version of the latest whole configuration that an operator sent. */
export interface Release {
  readonly kind: 'release';
  readonly id: typeof RELEASE_ID;
  readonly revision: Revision;
  /** The operator's version; only a higher one replaces it. */
  readonly version: number;
  readonly callerLimits: CallerLimits | null;
  /**
   * Whether the keys of callers are checked. Absent in releases that an earlier
   * version stored: they are if an organisation has keys.
   */
  readonly callerKeys?: CallerKeyPolicy;
}

/**
 * Whether callers are identified by keys: a checked key belongs to an organisation
 * or is refused; where keys are ignored, all callers are anonymous.
 */
export type CallerKeyPolicy = 'checked' | 'ignored';

/** Identifier of the only release object. */
export const RELEASE_ID = 'default';

/** Whether an operator lets an endpoint take requests or drains it. */
export interface EndpointPolicy {
  readonly kind: 'endpointPolicy';
  readonly id: EndpointId;
  readonly revision: Revision;
  readonly state: 'active' | 'draining';
}

/** Whether an operator holds a fingerprint, or lifted its quarantine. */
export interface PromptPolicy {
  readonly kind: 'promptPolicy';
  readonly id: FingerprintId;
  readonly revision: Revision;
  readonly state: 'held' | 'lifted';
}

/** The entry that leads a set, as assigned by the control log. */
export interface SetLeadership {
  readonly kind: 'setLeadership';
  readonly id: EndpointSetId;
  readonly revision: Revision;
  readonly node: NodeId;
  /** Increases with every assignment; the highest epoch is valid. */
  readonly epoch: number;
}

/** The latest order to an endpoint. */
export interface EndpointOrder {
  readonly kind: 'endpointOrder';
  readonly id: EndpointId;
  /** Increases with every order of an operator. */
  readonly revision: Revision;
  readonly directive: EndpointDirective;
  readonly state: OrderState;
}

/** Rate limit for loads of endpoints from the weight store. */
export interface WeightStore extends WeightStoreRate {
  readonly kind: 'weightStore';
  readonly id: typeof WEIGHT_STORE_ID;
  readonly revision: Revision;
}

/** Identifier of the only weight store object. */
export const WEIGHT_STORE_ID = 'default';

/** An object of the replicated configuration. */
export type ConfigurationObject =
  | Organisation
  | Tier
  | EndpointSet
  | RequestKind
  | EndpointPolicy
  | PromptPolicy
  | SetLeadership
  | EndpointOrder
  | WeightStore
  | Route
  | Release;

/** The kinds of configuration object. */
export type ObjectKind = ConfigurationObject['kind'];

/** Key of an object in the form `kind/id`. */
export type ObjectKey = Identifier<'object'>;

/** The configuration objects by key. */
export type ConfigurationTable = ReadonlyMap<ObjectKey, ConfigurationObject>;

export function formatObjectKey(kind: ObjectKind, id: string): ObjectKey {
  return `${kind}/${id}` as ObjectKey;
}

/** Finds an object of a kind by its identifier. */
export function findObject<Kind extends ObjectKind>(
  table: ConfigurationTable,
  kind: Kind,
  id: string,
): Extract<ConfigurationObject, {kind: Kind}> | undefined {
  const found = table.get(formatObjectKey(kind, id));
  return found as Extract<ConfigurationObject, {kind: Kind}> | undefined;
}

/** Lists the objects of a kind, in the order of the table. */
export function listObjects<Kind extends ObjectKind>(
  table: ConfigurationTable,
  kind: Kind,
): readonly Extract<ConfigurationObject, {kind: Kind}>[] {
  const found: Extract<ConfigurationObject, {kind: Kind}>[] = [];
  for (const object of table.values()) {
    if (object.kind === kind) {
      found.push(object as Extract<ConfigurationObject, {kind: Kind}>);
    }
  }
  return found;
}

/** Finds the configured rate of the weight store, or the default. */
export function findWeightStoreRate(lookup: {
  get(key: ObjectKey): ConfigurationObject | undefined;
}): WeightStoreRate {
  const store = lookup.get(formatObjectKey('weightStore', WEIGHT_STORE_ID));
  return store?.kind === 'weightStore' ? store : DEFAULT_WEIGHT_STORE_RATE;
}
