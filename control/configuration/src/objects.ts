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
  RegionId,
  RequestKindId,
  RouteId,
  TierId,
} from '@gentianshunt/identifiers';

/** Counts the changes of one object; the first revision is 1. */
export type Revision = number;

/** Tokens that an organisation may use, over all sets and entries. */
export interface TokenAllotment {
  readonly tokensPerSecond: number;
  /** Tokens that may be used at once after a pause. */
  readonly burstTokens: number;
  /** Tokens that a request of unknown size counts as. */
  readonly defaultTokens: number;
}

/** Bounds that hold for an organisation across all entries. */
export interface OrganisationLimits {
  /** Most requests running at once; `null` sets no limit. */
  readonly maxRunning: number | null;
  /** Most new requests a second; `null` sets no limit. */
  readonly maxRequestsPerSecond: number | null;
  /** Left out or `null`, tokens have no limit. */
  readonly tokens?: TokenAllotment | null;
}

/** A customer of the deployment. */
export interface Organisation {
  readonly kind: 'organisation';
  readonly id: OrganisationId;
  readonly revision: Revision;
  /** Share of a tier's capacity relative to other organisations. */
  readonly weight: number;
  /** Tiers its requests may name; the first is the default. */
  readonly tiers: readonly TierId[];
  readonly limits: OrganisationLimits;
  /** Ranks by which its requests stand behind the ranks of their tiers. */
  readonly rankOffset?: number;
  /** Keys by which callers of routes show that they belong to it. */
  readonly keys?: readonly string[];
}

/** A class of service. */
export interface Tier {
  readonly kind: 'tier';
  readonly id: TierId;
  readonly revision: Revision;
  /** Order of the tiers; 1 is served first and shed last. */
  readonly rank: number;
  /** Value of an answered request, relative to other tiers. */
  readonly weight: number;
  /** Time to the first token that the tier aims at, in milliseconds. */
  readonly firstTokenTargetMs: number;
  /** Share of requests that must meet the target. */
  readonly objective: number;
}

/** What the endpoints of a set run. */
export type EndpointService =
  | {readonly kind: 'model'; readonly model: string}
  | {readonly kind: 'plain'; readonly service: string};

/** A named group of endpoints that can serve the same requests. */
export interface EndpointSet {
  readonly kind: 'endpointSet';
  readonly id: EndpointSetId;
  readonly revision: Revision;
  readonly region: RegionId;
  readonly service: EndpointService;
  /** Path that tells whether an endpoint of the set is healthy. */
  readonly healthPath?: string;
  /** Connections that one endpoint takes from all entries together. */
  readonly maxConnections?: number;
}

/** A kind of request. */
export interface RequestKind {
  readonly kind: 'requestKind';
  readonly id: RequestKindId;
  readonly revision: Revision;
  /** Whether running the request twice does no harm. */
  readonly idempotent: boolean;
  /** Weight of an answered request in the goodput of its tier. */
  readonly weight: number;
  /**
   * Whether each call is a request of its own, so that a non-idempotent one
   * needs neither an idempotency key nor a claim.
   */
  readonly isUnclaimed?: boolean;
}

/** A set that takes part of a route's requests. */
export interface RouteShare {
  readonly set: EndpointSetId;
  readonly weight: number;
}

/** Where the calls to a host and path go, and how they are handled. */
export interface Route {
  readonly kind: 'route';
  readonly id: RouteId;
  readonly revision: Revision;
  readonly host: string;
  /** Begins and ends with a slash; the longest that fits a path wins. */
  readonly pathPrefix: string;
  readonly requestKind: RequestKindId;
  readonly tier: TierId;
  readonly shares: readonly RouteShare[];
  /** Most endpoints to which one call is dispatched. */
  readonly maxAttempts: number;
  /** Time after which a call gets its final answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Time to the first byte that callers expect, in milliseconds. */
  readonly objectiveMs: number;
  /** Time without a byte after which callers leave, in milliseconds. */
  readonly patienceMs: number;
  /** Whether calls without a key are taken. */
  readonly isAnonymous: boolean;
  /** Whether a broken stream may go on at another endpoint. */
  readonly isResumable: boolean;
  readonly isStream: boolean;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Names the whole configuration that an operator put in place last. */
export interface Release {
  readonly kind: 'release';
  readonly id: typeof RELEASE_ID;
  readonly revision: Revision;
  /** The operator's version; the highest one holds. */
  readonly version: number;
  readonly callerLimits: CallerLimits | null;
}

/** There is one release in force. */
export const RELEASE_ID = 'default';

/** An operator's decision about one endpoint. */
export interface EndpointPolicy {
  readonly kind: 'endpointPolicy';
  readonly id: EndpointId;
  readonly revision: Revision;
  readonly state: 'active' | 'draining';
}

/** Which entry leads a set, assigned by the control log. */
export interface SetLeadership {
  readonly kind: 'setLeadership';
  readonly id: EndpointSetId;
  readonly revision: Revision;
  readonly node: NodeId;
  /** Rises with every assignment; higher epochs win. */
  readonly epoch: number;
}

/** The latest order to one endpoint. */
export interface EndpointOrder {
  readonly kind: 'endpointOrder';
  readonly id: EndpointId;
  /** Rises with every order of an operator. */
  readonly revision: Revision;
  readonly directive: EndpointDirective;
  readonly state: OrderState;
}

/** The rate at which endpoints may load from the weight store. */
export interface WeightStore extends WeightStoreRate {
  readonly kind: 'weightStore';
  readonly id: typeof WEIGHT_STORE_ID;
  readonly revision: Revision;
}

/** There is one weight store. */
export const WEIGHT_STORE_ID = 'default';

/** Everything the replicated configuration is made of. */
export type ConfigurationObject =
  | Organisation
  | Tier
  | EndpointSet
  | RequestKind
  | EndpointPolicy
  | SetLeadership
  | EndpointOrder
  | WeightStore
  | Route
  | Release;

/** The kinds of configuration object. */
export type ObjectKind = ConfigurationObject['kind'];

/** Identifies an object among those of all kinds: `kind/id`. */
export type ObjectKey = Identifier<'object'>;

/** The objects by key, as a board section shows them. */
export type ConfigurationTable = ReadonlyMap<ObjectKey, ConfigurationObject>;

/** Makes the key of an object. */
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

/** Reads the rate of the weight store. */
export function findWeightStoreRate(lookup: {
  get(key: ObjectKey): ConfigurationObject | undefined;
}): WeightStoreRate {
  const store = lookup.get(formatObjectKey('weightStore', WEIGHT_STORE_ID));
  return store?.kind === 'weightStore' ? store : DEFAULT_WEIGHT_STORE_RATE;
}
