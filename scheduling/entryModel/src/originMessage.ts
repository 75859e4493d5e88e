import type {EndpointSetId, RequestId} from '@gentianshunt/identifiers';

import type {
  OriginVote,
  ReportedHistory,
  ReportedOrigin,
  StreamOrigin,
} from './streamOrigin.js';

/** Messages between entries about what began streams. */
export type OriginMessage =
  | {
      /** Origins of streams that the receiver keeps for the other entries. */
      readonly kind: 'streamOriginsReported';
      readonly origins: readonly ReportedOrigin[];
      /** Whether callers wait until the receiver says that it keeps them. */
      readonly isAwaited: boolean;
    }
  | {
      /** The sender keeps the origins of the receiver's streams. */
      readonly kind: 'streamOriginsKept';
      readonly attempts: readonly RequestId[];
    }
  | {
      /** The sender has lost what it was told of the streams of a set. */
      readonly kind: 'streamOriginsRequested';
      readonly set: EndpointSetId;
    }
  | {
      readonly kind: 'streamOriginRequested';
      /** The request that takes the stream up. */
      readonly request: RequestId;
      readonly attempt: RequestId | null;
      readonly set: EndpointSetId;
    }
  | {
      readonly kind: 'streamOriginAnswered';
      readonly request: RequestId;
      /** `null` if the sender does not know it. */
      readonly origin: StreamOrigin | null;
      readonly vote: OriginVote;
    }
  | {
      /** Asks an entry what it has seen of the software of a set. */
      readonly kind: 'softwareHistoryRequested';
      readonly set: EndpointSetId;
    }
  | {
      readonly kind: 'softwareHistoryReported';
      readonly set: EndpointSetId;
      /** `null` if something may have escaped the sender. */
      readonly history: ReportedHistory | null;
    };
