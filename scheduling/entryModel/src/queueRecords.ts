/** Keys and records of requests that wait for slots or run. */
import type {MonotonicTime} from '@gentianshunt/clock';
import type {
  EndpointId,
  EndpointSetId,
  GrantId,
  NodeId,
  OrganisationId,
  RequestId,
} from '@gentianshunt/identifiers';

/** Identifies a queue of waiting requests. */
export interface QueueKey {
  readonly set: EndpointSetId;
  readonly rank: number;
  readonly organisation: OrganisationId;
}

/** Sorts waiting requests by queue, then by arrival. */
export interface WaitingKey extends QueueKey {
  readonly arrivedAt: MonotonicTime;
  readonly request: RequestId;
}

/** How many requests a queue holds. */
export interface QueueLength {
  readonly count: number;
}

/** How often each entry was assigned to a caller as its first address. */
export interface AssignedAddresses {
  readonly since: MonotonicTime;
  readonly counts: ReadonlyMap<NodeId, number>;
}

/** Identifies this entry's requests of an organisation at an endpoint. */
export interface RunningKey {
  readonly set: EndpointSetId;
  readonly endpoint: EndpointId;
  readonly organisation: OrganisationId;
}

/** How many requests that share a `RunningKey` are running. */
export interface RunningRecord {
  readonly count: number;
}

/** Sorts slots by queue, then by grant. */
export interface SlotKey extends QueueKey {
  readonly grant: GrantId;
}

/** Sorts dispatched requests by when their endpoint counts as silent. */
export interface SilenceDeadlineKey {
  readonly silentAt: MonotonicTime;
  readonly request: RequestId;
}
