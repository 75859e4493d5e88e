/** What an entry knows of its own connections to endpoints. */
import type {MonotonicTime} from '@gentianshunt/clock';
import type {EndpointId} from '@gentianshunt/identifiers';

/** Whether an entry can connect to endpoints. */
export type Reach =
  | {readonly kind: 'reaching'}
  /** Connections are opened to find out whether it reaches any endpoint. */
  | {readonly kind: 'checking'; readonly since: MonotonicTime}
  /** It reaches no endpoint: the entry is cut off, not the endpoints. */
  | {readonly kind: 'isolated'; readonly since: MonotonicTime};

/** What an entry has seen of its connections. */
export interface ReachEvidence {
  /** When a byte of any endpoint arrived last, to a fraction of a second. */
  readonly heardAt: MonotonicTime;
  /** When connections to endpoints failed, until one is reached. */
  readonly failed: ReadonlyMap<EndpointId, MonotonicTime>;
  /** When the latest check began or ended. */
  readonly checkedAt: MonotonicTime;
  /** Endpoints whose connections of the latest check are not decided yet. */
  readonly awaited: ReadonlySet<EndpointId>;
  /** Endpoints that an isolated entry has reached since the last failure. */
  readonly reached: ReadonlySet<EndpointId>;
}

/** Nothing has been seen yet. */
export const NO_REACH_EVIDENCE: ReachEvidence = {
  heardAt: Number.NEGATIVE_INFINITY,
  failed: new Map(),
  checkedAt: Number.NEGATIVE_INFINITY,
  awaited: new Set(),
  reached: new Set(),
};

/** Returns whether an entry passes its callers' requests on to other entries. */
export function isIsolated({kind}: Reach): boolean {
  return kind === 'isolated';
}
