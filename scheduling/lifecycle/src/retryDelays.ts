import type {Milliseconds} from '@gentianshunt/clock';

/** Retry delay for callers that are refused for a temporary reason. */
export const TRANSIENT_RETRY_AFTER_MS: Milliseconds = 1_000;
