// What an entry records of claims on idempotency keys.
import type {MonotonicTime} from '@gentianshunt/clock';
import type {RequestId} from '@gentianshunt/identifiers';
import type {ClaimKey, ClaimOutcome} from '@gentianshunt/messages';

/** A claim that the control log has not decided yet. */
export interface OpenClaim {
  readonly startedAt: MonotonicTime;
  readonly requestedAt: MonotonicTime;
  /** How often the claim request was sent. */
  readonly requestCount: number;
}

/** The outcome of a claimed request, to be stored in the control log. */
export interface ClaimCompletion {
  readonly key: ClaimKey;
  readonly request: RequestId;
  readonly outcome: ClaimOutcome;
  readonly endedAt: MonotonicTime;
  readonly sentAt: MonotonicTime;
  /** When the control log confirmed it; `null` while unconfirmed. */
  readonly confirmedAt: MonotonicTime | null;
}
