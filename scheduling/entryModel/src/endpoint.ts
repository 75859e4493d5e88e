import type {Milliseconds} from '@gentianshunt/clock';
import type {
  EndpointId,
  EndpointSetId,
  FailureDomainId,
  IncarnationId,
  SoftwareVersion,
} from '@gentianshunt/identifiers';

/** An endpoint's load at the time of the measurement. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  /** Age of the measurement when the endpoint sent it. */
  readonly ageMs: Milliseconds;
}

/** Orders an endpoint's announcements, which may arrive out of order. */
export interface AnnouncementPosition {
  /** Start of the incarnation in milliseconds since the Unix epoch. */
  readonly startedAtMs: number;
  /** Rises with every announcement of an incarnation. */
  readonly sequence: number;
}

/** An endpoint's description of itself, sent at regular intervals. */
export interface EndpointAnnouncement {
  readonly endpoint: EndpointId;
  readonly incarnation: IncarnationId;
  readonly set: EndpointSetId;
  readonly domain: FailureDomainId;
  readonly url: string;
  /** Maximum number of requests that the endpoint runs at a time. */
  readonly concurrency: number;
  /** Whether it refuses orders with an outdated fencing number. */
  readonly checksFencing: boolean;
  readonly load: LoadReport | null;
  /** Whether the endpoint asks for no further requests. */
  readonly leaving: boolean;
  /** Absent from endpoints that do not name their software. */
  readonly software?: SoftwareVersion;
  /** Absent from endpoints that do not number their announcements. */
  readonly order?: AnnouncementPosition;
}
