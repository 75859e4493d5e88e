import type {Milliseconds} from '@gentianshunt/clock';
import type {
  EndpointId,
  EndpointSetId,
  FailureDomainId,
  IncarnationId,
} from '@gentianshunt/identifiers';

/** A load report, taken some time before it arrives. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  /** How old the report was when the endpoint sent it. */
  readonly ageMs: Milliseconds;
}

/** Orders what an endpoint says; messages may overtake each other. */
export interface AnnouncementOrder {
  /** When the incarnation started, in milliseconds since the epoch. */
  readonly startedAtMs: number;
  /** Rises with every announcement of an incarnation. */
  readonly sequence: number;
}

/** What an endpoint says of itself at regular intervals. */
export interface EndpointAnnouncement {
  readonly endpoint: EndpointId;
  readonly incarnation: IncarnationId;
  readonly set: EndpointSetId;
  readonly domain: FailureDomainId;
  readonly url: string;
  /** Requests the endpoint can work on at once. */
  readonly concurrency: number;
  /** Whether it refuses orders that carry an old fencing number. */
  readonly checksFencing: boolean;
  readonly load: LoadReport | null;
  /** Whether it asks for no further work. */
  readonly leaving: boolean;
  /** Left out by endpoints that do not number what they say. */
  readonly order?: AnnouncementOrder;
}
