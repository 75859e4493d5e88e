import type {MonotonicTime} from '@gentianshunt/clock';
import type {IncarnationId} from '@gentianshunt/identifiers';

import type {EndpointAnnouncement} from './endpoint.js';
import type {LeftIncarnation} from './withdrawal.js';

/** What the leader of a set has recorded of an endpoint. */
export interface EndpointRecord {
  readonly announcement: EndpointAnnouncement;
  readonly seenAt: MonotonicTime;
  readonly state: 'active' | 'leaving' | 'silent';
  /** Earlier incarnations, the latest first; their messages are ignored. */
  readonly replaced: readonly IncarnationId[];
}

/** The last message that this entry received from an endpoint. */
export type ReceivedAnnouncement =
  | {
      readonly kind: 'announced';
      readonly announcement: EndpointAnnouncement;
      readonly receivedAt: MonotonicTime;
    }
  | {
      readonly kind: 'left';
      readonly left: LeftIncarnation;
      readonly receivedAt: MonotonicTime;
    };
