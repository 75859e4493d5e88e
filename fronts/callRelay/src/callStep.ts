import type {Milliseconds} from '@gentianshunt/clock';
import type {
  EndpointId,
  RequestId,
  SoftwareVersion,
} from '@gentianshunt/identifiers';

import type {CallFailedError} from './callFailedError.js';
import type {UnboundedAnswerError} from './droppedBody.js';

/** A call at the moment at which it is sent to an endpoint. */
export interface SentCall {
  readonly request: RequestId;
  readonly endpoint: EndpointId;
  /** The software of the endpoint; `null` if it names none. */
  readonly software: SoftwareVersion | null;
  /** The attempt whose stream it takes up; `null` if it takes up none. */
  readonly resumes: RequestId | null;
  /** Time since the call was read. */
  readonly ageMs: Milliseconds;
  /** Time since the decision to dispatch it. */
  readonly sinceDispatchMs: Milliseconds;
  /** Time until its deadline. */
  readonly timeLeftMs: Milliseconds;
}

/** What happened to a call at its connections, for logs and metrics. */
export type CallStep =
  /** Its first byte leaves for an endpoint. */
  | ({readonly kind: 'sent'} & SentCall)
  /** It was dispatched but not sent. */
  | ({readonly kind: 'withheld'; readonly cause: string} & SentCall)
  /** An answer did not end within its bounds; its connection is closed. */
  | {readonly kind: 'answerUnbounded'; readonly error: UnboundedAnswerError}
  /** Handling it failed in a way that was not expected. */
  | {readonly kind: 'callFailed'; readonly error: CallFailedError}
  /** The relay has read that its caller disconnected. */
  | {
      readonly kind: 'callerDisconnected';
      readonly request: RequestId;
      readonly ageMs: Milliseconds;
    };
