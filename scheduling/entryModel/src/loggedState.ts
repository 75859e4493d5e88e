import type {EndpointId, NodeId} from '@gentianshunt/identifiers';

import type {EndpointRecord} from './endpointRecord.js';

/**
 * The state of the entry that the decision log wrote last. A difference from
 * the board is the next event to log.
 */
export interface LoggedState {
  readonly leader: NodeId | null;
  readonly version: number;
  readonly hasLease: boolean;
  /** States of the endpoints of led sets. */
  readonly endpoints: ReadonlyMap<EndpointId, EndpointRecord['state']>;
}

/** Before the first log event. */
export const NOTHING_LOGGED: LoggedState = {
  leader: null,
  version: 0,
  hasLease: false,
  endpoints: new Map(),
};
