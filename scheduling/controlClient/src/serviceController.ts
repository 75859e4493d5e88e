import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {EntryController, Settlement} from '@gentianshunt/entryModel';

/** Time between two runs of the periodic upkeep. */
export const HOUSEKEEPING_INTERVAL_MS: Milliseconds = 250;
/** Time for callers' cached addresses to lapse before the entry may exit. */
export const DRAIN_NOTICE_MS: Milliseconds = 2_000;

/** Longest wait of a draining entry for a confirmed outcome. */
export const SETTLE_EXIT_MS: Milliseconds = 5_000;
/** Longest wait of a drained entry for its counts to be taken. */
export const COUNT_EXIT_MS: Milliseconds = 10_000;

type ServiceReads =
  'service' | 'requests' | 'settlements' | 'counts' | 'countState';

/** Creates the controller that starts and ends the entry's service. */
export function createServiceController(): EntryController {
  return defineEntryController<ServiceReads, 'service'>({
    name: 'service',
    reads: ['service', 'requests', 'settlements', 'counts', 'countState'],
    writes: ['service'],
    observes: ['started', 'shutdownRequested', 'timerDue'],
    run: ({observation, board}, now) => {
      switch (observation?.kind) {
        case 'started':
          return [createHousekeepingTimer()];
        case 'shutdownRequested':
          return board.service.kind === 'draining'
            ? [{kind: 'order', order: {kind: 'exit'}}]
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
          const {service, requests, settlements, counts, countState} = board;
          const drainedMs =
            service.kind === 'draining' ? now.monotonic - service.since : 0;
          const isCounted = counts.size === 0 && countState.open === null;
          const isDone =
            requests.size === 0 &&
            drainedMs >= DRAIN_NOTICE_MS &&
            isAllSettled(settlements, now) &&
            (isCounted || drainedMs >= COUNT_EXIT_MS);
          return isDone
            ? [{kind: 'order', order: {kind: 'exit'}}]
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
    kind: 'order',
    order: {
      kind: 'setTimer',
      timer: {kind: 'housekeeping'},
      delayMs: HOUSEKEEPING_INTERVAL_MS,
    },
  } as const;
}

/** An outcome that the control log never gets counts there as unknown. */
function isAllSettled(
  settlements: ReadonlyMap<string, Settlement>,
  now: TurnTime,
): boolean {
  for (const {confirmedAt, endedAt} of settlements.values()) {
    const openMs = now.monotonic - endedAt;
    if (confirmedAt === null && openMs < SETTLE_EXIT_MS) {
      return false;
    }
  }
  return true;
}
