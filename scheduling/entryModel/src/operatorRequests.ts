/** What operators asked of an entry, and what it refused to callers. */
import type {MonotonicTime} from '@gentianshunt/clock';
import type {
  ConfigurationReplacement,
  ControlQuery,
  OperatorCommand,
} from '@gentianshunt/messages';
import type {NodeId, RequestId} from '@gentianshunt/identifiers';

import type {AdmittedRequest, Refusal} from './request.js';

/** An operator's command that is not in force yet. */
export interface PendingCommand {
  readonly correlation: RequestId;
  readonly receivedAt: MonotonicTime;
  readonly command: OperatorCommand;
  /** Version that contains the command; `null` until it is accepted. */
  readonly version: number | null;
  /** `null` until the leading control daemon is known. */
  readonly delivery: RequestDelivery | null;
}

/** An operator's query that the leading control daemon has not answered. */
export interface PendingQuery {
  readonly correlation: RequestId;
  readonly receivedAt: MonotonicTime;
  /** `null` until the leading control daemon is known. */
  readonly delivery: RequestDelivery | null;
  readonly query: ControlQuery;
}

/** When a request was last sent to the leading control daemon. */
export interface RequestDelivery {
  readonly to: NodeId;
  readonly sentAt: MonotonicTime;
  /** How often it was sent to this daemon. */
  readonly attempts: number;
}

/** A whole configuration that the control log has not stored yet. */
export interface PendingReplacement {
  readonly correlation: RequestId;
  readonly receivedAt: MonotonicTime;
  /** `null` until the leading control daemon is known. */
  readonly delivery: RequestDelivery | null;
  readonly replacement: ConfigurationReplacement;
}

/** A recent refusal, for operators' queries. */
export interface RefusalRecord {
  readonly number: number;
  readonly at: Date;
  readonly refusal: Refusal;
  /** `null` when the request was never admitted. */
  readonly request: AdmittedRequest | null;
}
