import type {MonotonicTime} from '@gentianshunt/clock';
import type {IncarnationId} from '@gentianshunt/identifiers';

import type {EndpointAnnouncement} from './endpoint.js';

/** An endpoint as the leader of its set knows it. */
export interface EndpointRecord {
  readonly announcement: EndpointAnnouncement;
  readonly seenAt: MonotonicTime;
  readonly state: 'active' | 'leaving' | 'silent';
  /** Earlier incarnations, the latest first; their announcements are late. */
  readonly replaced: readonly IncarnationId[];
}

/** What an endpoint told this entry last. */
export type HeardAnnouncement =
  | {
      readonly kind: 'announced';
      readonly announcement: EndpointAnnouncement;
      readonly heardAt: MonotonicTime;
    }
  | {readonly kind: 'left'; readonly heardAt: MonotonicTime};
