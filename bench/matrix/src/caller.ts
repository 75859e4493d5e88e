import type {Milliseconds} from '@gentianshunt/clock';
import type {Refusal} from '@gentianshunt/entryModel';

import type {Schedule} from './schedule.js';
import type {TraceEvent} from './trace.js';

/** Wait before a caller tries again. */
const RETRY_MS: Milliseconds = 300;
/** Most attempts of one call. */
const MAX_ATTEMPTS = 6;

/** One call as its caller means it. */
export interface CallPlan {
  readonly name: string;
  /** Key of a non-idempotent call; `null` for others. */
  readonly key: string | null;
  readonly tier: 'gold' | 'bronze';
  readonly tokens: number;
  /** When the caller hangs up; `null` when it stays. */
  readonly hangUpAfterMs: Milliseconds | null;
}

/** One connection of a caller to an entry. */
export interface Attempt {
  readonly request: string;
  readonly plan: CallPlan;
  readonly received: string[];
  isOpen: boolean;
  /** The answer ended with its end mark. */
  finish(answer: string): void;
  refuse(refusal: Refusal): void;
  /** The connection broke or the answer ended in an error. */
  fail(): void;
}

/** How a caller reaches the entries. */
export interface Entrance {
  /** Connects to the n-th choice; tells whether it took the connection. */
  connect(choice: number, attempt: Attempt): boolean;
  hangUp(attempt: Attempt): void;
}

/** What the callers need. */
export interface CallersOptions {
  readonly schedule: Schedule;
  readonly entrance: Entrance;
  readonly record: (event: TraceEvent) => void;
}

/** Callers that try again where that is safe. */
export interface Callers {
  start(plan: CallPlan): void;
  /** The caller of a request hangs up; tells whether it was there. */
  leave(request: string): boolean;
  /** A keyed request is sent again; tells whether the request has a key. */
  resend(request: string): boolean;
  readonly answered: number;
  /** Requests whose callers still wait. */
  listOpen(): readonly string[];
}

/** Formats the answer that belongs to a call. */
export function formatTokens(plan: CallPlan): readonly string[] {
  return Array.from(
    {length: plan.tokens},
    (_, index) => `${plan.name}#${index}`,
  );
}

/** Creates callers without calls. */
export function createCallers(options: CallersOptions): Callers {
  const {schedule, entrance, record} = options;
  const attempts = new Map<string, Attempt>();
  let answered = 0;
  const sends = new Map<string, number>();
  const send = (plan: CallPlan): void => {
    const number = sends.get(plan.name) ?? 0;
    if (number >= MAX_ATTEMPTS) {
      return;
    }
    sends.set(plan.name, number + 1);
    const retry = (): void => schedule.plan(RETRY_MS, () => send(plan));
    const request = `${plan.name}.${number}`;
    const attempt = createAttempt(plan, request, retry, answer => {
      answered += 1;
      const expected = formatTokens(plan).join(' ');
      const at = schedule.clock.readMonotonic();
      record({at, kind: 'delivered', request, expected, received: answer});
    });
    attempts.set(request, attempt);
    if (!entrance.connect(number, attempt)) {
      attempt.isOpen = false;
      retry();
      return;
    }
    if (plan.hangUpAfterMs !== null) {
      schedule.plan(plan.hangUpAfterMs, () => hangUp(request));
    }
  };
  const hangUp = (request: string): boolean => {
    const found = attempts.get(request);
    if (found?.isOpen !== true) {
      return false;
    }
    found.isOpen = false;
    entrance.hangUp(found);
    return true;
  };
  return {
    start: send,
    leave: hangUp,
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

/** A call is sent again if it did not run or if its key makes that safe. */
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
