import type {Milliseconds} from '@gentianshunt/clock';
import type {Refusal} from '@gentianshunt/entryModel';

import type {Scheduler} from './scheduler.js';
import type {TraceEvent} from './trace.js';

/** Wait before a caller retries a call. */
const RETRY_MS: Milliseconds = 300;
/** Maximum number of attempts of one call. */
const MAX_ATTEMPTS = 6;

/** One call, which its caller may send in several attempts. */
export interface CallPlan {
  readonly name: string;
  /** Idempotency key of a non-idempotent call; `null` for other calls. */
  readonly key: string | null;
  readonly tier: 'gold' | 'bronze';
  readonly tokens: number;
  /** Time after which the caller disconnects; `null` if it does not. */
  readonly disconnectAfterMs: Milliseconds | null;
}

/** One attempt of a call: a connection of its caller to an entry. */
export interface Attempt {
  /** Id of the request, unique for each attempt. */
  readonly request: string;
  readonly plan: CallPlan;
  readonly received: string[];
  isOpen: boolean;
  /** Ends the attempt with an answer that has its end mark. */
  finish(answer: string): void;
  /** Ends the attempt with a refusal by the entry. */
  refuse(refusal: Refusal): void;
  /** Ends the attempt after a broken connection or an error in the answer. */
  fail(): void;
}

/** Connects callers to entries. */
export interface EntryConnector {
  /**
   * Connects an attempt to one of the entries of a lookup, the next one for
   * each attempt; returns whether the entry accepted the connection.
   */
  connect(attemptNumber: number, attempt: Attempt): boolean;
  disconnect(attempt: Attempt): void;
}

/** Options of the callers. */
export interface CallersOptions {
  readonly scheduler: Scheduler;
  readonly connector: EntryConnector;
  readonly record: (event: TraceEvent) => void;
}

/** Callers that retry a call only if the retry cannot make it run twice. */
export interface Callers {
  start(plan: CallPlan): void;
  /** Disconnects the caller of a request; returns whether it was connected. */
  disconnect(request: string): boolean;
  /** Sends a request again if it has a key; returns whether it has one. */
  resend(request: string): boolean;
  /** Number of calls that were answered. */
  readonly answered: number;
  /** Lists the requests whose callers still wait. */
  listOpen(): readonly string[];
}

/** Formats the tokens of the answer that a call must receive. */
export function formatTokens(plan: CallPlan): readonly string[] {
  return Array.from(
    {length: plan.tokens},
    (_, index) => `${plan.name}#${index}`,
  );
}

/** Creates callers that have made no calls. */
export function createCallers(options: CallersOptions): Callers {
  const {scheduler, connector, record} = options;
  const attempts = new Map<string, Attempt>();
  let answered = 0;
  const sends = new Map<string, number>();
  const send = (plan: CallPlan): void => {
    const number = sends.get(plan.name) ?? 0;
    if (number >= MAX_ATTEMPTS) {
      return;
    }
    sends.set(plan.name, number + 1);
    const retry = (): void => scheduler.schedule(RETRY_MS, () => send(plan));
    const request = `${plan.name}.${number}`;
    const attempt = createAttempt(plan, request, retry, answer => {
      answered += 1;
      const expected = formatTokens(plan).join(' ');
      const at = scheduler.clock.readMonotonic();
      record({at, kind: 'delivered', request, expected, received: answer});
    });
    attempts.set(request, attempt);
    if (!connector.connect(number, attempt)) {
      attempt.isOpen = false;
      retry();
      return;
    }
    if (plan.disconnectAfterMs !== null) {
      scheduler.schedule(plan.disconnectAfterMs, () => disconnect(request));
    }
  };
  const disconnect = (request: string): boolean => {
    const found = attempts.get(request);
    if (found?.isOpen !== true) {
      return false;
    }
    found.isOpen = false;
    connector.disconnect(found);
    return true;
  };
  return {
    start: send,
    disconnect,
    resend: request => {
      const found = attempts.get(request);
      if (found === undefined || found.plan.key === null) {
        return false;
      }
      send(found.plan);
      return true;
    },
    get answered() {
      return answered;
    },
    listOpen: () =>
      [...attempts.values()]
        .filter(attempt => attempt.isOpen)
        .map(attempt => attempt.request),
  };
}

/**
 * Creates an attempt. After a failure the call is retried if the attempt did
 * not run, or if the call has a key.
 */
function createAttempt(
  plan: CallPlan,
  request: string,
  retry: () => void,
  onAnswered: (answer: string) => void,
): Attempt {
  const close = (): boolean => {
    const wasOpen = attempt.isOpen;
    attempt.isOpen = false;
    return wasOpen;
  };
  const attempt: Attempt = {
    request,
    plan,
    received: [],
    isOpen: true,
    finish: answer => {
      if (close()) {
        onAnswered(answer);
      }
    },
    refuse: refusal => {
      const mayRetry = refusal.notRun && refusal.retryAfterMs !== null;
      if (close() && (mayRetry || plan.key !== null)) {
        retry();
      }
    },
    fail: () => {
      if (close() && plan.key !== null) {
        retry();
      }
    },
  };
  return attempt;
}
