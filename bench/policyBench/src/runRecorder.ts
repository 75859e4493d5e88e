import type {Clock} from '@gentianshunt/clock';

import type {Arrival} from './arrivals.js';

/** How and when a request ended. */
export type Outcome =
  /** The caller received the complete answer. */
  | {readonly kind: 'answered'; readonly at: number}
  /** The caller disconnected before the answer was complete. */
  | {readonly kind: 'abandoned'; readonly at: number}
  /** The policy refused the request because too many were waiting. */
  | {readonly kind: 'shed'; readonly at: number}
  /** A failed engine or entry, or a refusal for another reason, ended it. */
  | {readonly kind: 'cut'; readonly at: number};

/** The course of one request. */
export interface RequestRecord {
  readonly arrival: Arrival;
  readonly outcome: Outcome | null;
  readonly dispatchedAt: number | null;
  readonly firstTokenAt: number | null;
  /** Prompt tokens processed for the request. */
  readonly prefillTokens: number;
}

/** Records the course of the requests of a run. */
export interface RunRecorder {
  recordArrival(arrival: Arrival): void;
  recordDispatch(arrival: Arrival): void;
  recordFirstToken(arrival: Arrival): void;
  /** Records how a request ended; only its first outcome counts. */
  recordOutcome(arrival: Arrival, kind: Outcome['kind']): void;
  countPrefill(arrival: Arrival, tokens: number): void;
  /** Counts requests shed while one of a lower tier waited in the same set. */
  readTierOrderViolations(): number;
  listRecords(): readonly RequestRecord[];
}

interface MutableRecord {
  readonly arrival: Arrival;
  outcome: Outcome | null;
  dispatchedAt: number | null;
  firstTokenAt: number | null;
  prefillTokens: number;
}

/** Creates a recorder without records. */
export function createRunRecorder(clock: Clock): RunRecorder {
  const records = new Map<string, MutableRecord>();
  // Number of requests that wait for their dispatch, by set and rank.
  const waiting = new Map<string, number>();
  let violations = 0;
  const changeWaiting = (arrival: Arrival, difference: number): void => {
    const key = `${arrival.kind.set}/${arrival.rank}`;
    waiting.set(key, (waiting.get(key) ?? 0) + difference);
  };
  const isLowerTierWaiting = ({kind, rank}: Arrival): boolean =>
    [...waiting].some(([key, count]) => {
      const [set, waitingRank] = key.split('/');
      return count > 0 && set === kind.set && Number(waitingRank) > rank;
    });
  return {
    recordArrival: arrival => {
      records.set(arrival.id, {
        arrival,
        outcome: null,
        dispatchedAt: null,
        firstTokenAt: null,
        prefillTokens: 0,
      });
      changeWaiting(arrival, 1);
    },
    recordDispatch: arrival => {
      records.get(arrival.id)!.dispatchedAt = clock.readMonotonic();
      changeWaiting(arrival, -1);
    },
    recordFirstToken: arrival => {
      records.get(arrival.id)!.firstTokenAt = clock.readMonotonic();
    },
    recordOutcome: (arrival, kind) => {
      const record = records.get(arrival.id)!;
      if (record.outcome !== null) {
        return;
      }
      record.outcome = {kind, at: clock.readMonotonic()};
      if (record.dispatchedAt === null) {
        changeWaiting(arrival, -1);
      }
      if (kind === 'shed' && isLowerTierWaiting(arrival)) {
        violations += 1;
      }
    },
    countPrefill: (arrival, tokens) => {
      records.get(arrival.id)!.prefillTokens += tokens;
    },
    readTierOrderViolations: () => violations,
    listRecords: () => [...records.values()],
  };
}
