import type {EndpointId, NodeId} from '@gentianshunt/identifiers';

import type {EndpointRecord} from './endpointRecord.js';

/** What the decision log has told of the entry's standing. */
export interface ToldState {
  readonly leader: NodeId | null;
  readonly version: number;
  readonly hasLease: boolean;
  /** States of the endpoints of led sets. */
  readonly endpoints: ReadonlyMap<EndpointId, EndpointRecord['state']>;
}

/** Before anything was told. */
export const NOTHING_TOLD: ToldState = {
  leader: null,
  version: 0,
  hasLease: false,
  endpoints: new Map(),
};
