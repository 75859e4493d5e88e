import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {ClaimCompletion, EntryController} from '@gentianshunt/entryModel';

/** Time between two `housekeeping` timers, which run the periodic tasks. */
export const HOUSEKEEPING_INTERVAL_MS: Milliseconds = 250;
/** Minimum drain time, so that addresses cached by callers expire. */
export const MIN_DRAIN_MS: Milliseconds = 2_000;

/** Longest wait of a draining entry for the confirmation of an outcome. */
export const MAX_DRAIN_COMPLETION_WAIT_MS: Milliseconds = 5_000;
/** Longest wait of a draining entry for the acknowledgement of its counts. */
export const MAX_DRAIN_COUNT_WAIT_MS: Milliseconds = 10_000;

type ServiceReads =
  'service' | 'requests' | 'claimCompletions' | 'counts' | 'countState';

/**
 * Creates the controller that drains the entry on shutdown and ends its process
 * when no work is left. A second shutdown request ends it at once.
 */
export function createServiceController(): EntryController {
  return defineEntryController<ServiceReads, 'service'>({
    name: 'service',
    reads: ['service', 'requests', 'claimCompletions', 'counts', 'countState'],
    writes: ['service'],
    observes: ['started', 'shutdownRequested', 'timerDue'],
    run: ({observation, board}, now) => {
      switch (observation?.kind) {
        case 'started':
          return [createHousekeepingTimer()];
        case 'shutdownRequested':
          return board.service.kind === 'draining'
            ? [{kind: 'effect', effect: {kind: 'exit'}}]
            : [
                {
                  kind: 'set',
                  section: 'service',
                  value: {kind: 'draining', since: now.monotonic},
                },
              ];
        case 'timerDue': {
          if (observation.timer.kind !== 'housekeeping') {
            return [];
          }
          const {service, requests, claimCompletions, counts, countState} =
            board;
          const drainedMs =
            service.kind === 'draining' ? now.monotonic - service.since : 0;
          const isCounted = counts.size === 0 && countState.open === null;
          const isDone =
            requests.size === 0 &&
            drainedMs >= MIN_DRAIN_MS &&
            isEveryCompletionDone(claimCompletions, now) &&
            (isCounted || drainedMs >= MAX_DRAIN_COUNT_WAIT_MS);
          return isDone
            ? [{kind: 'effect', effect: {kind: 'exit'}}]
            : [createHousekeepingTimer()];
        }
        default:
          return [];
      }
    },
  });
}

function createHousekeepingTimer() {
  return {
    kind: 'effect',
    effect: {
      kind: 'setTimer',
      timer: {kind: 'housekeeping'},
      delayMs: HOUSEKEEPING_INTERVAL_MS,
    },
  } as const;
}

/**
 * Returns whether each outcome is confirmed or has waited too long for it. The
 * control log records an outcome that it never receives as unknown.
 */
function isEveryCompletionDone(
  completions: ReadonlyMap<string, ClaimCompletion>,
  now: TurnTime,
): boolean {
  for (const {confirmedAt, endedAt} of completions.values()) {
    const openMs = now.monotonic - endedAt;
    if (confirmedAt === null && openMs < MAX_DRAIN_COMPLETION_WAIT_MS) {
      return false;
    }
  }
  return true;
}
