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
}
