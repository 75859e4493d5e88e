import type {BoardView, TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  EndpointSignals,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';
import type {EndpointId} from '@gentianshunt/identifiers';
import {computeRejectionPause} from '@gentianshunt/policy';

type PauseReads = 'pausedEndpoints' | 'control';
type PauseView = View<EntrySections, PauseReads, EntryObservation>;
type PauseWrite = EntryWrite<'pausedEndpoints'>;

/**
 * Creates the controller that records which endpoints turned a request of this
 * entry away and for how long they want nothing from it.
 */
export function createPauseController(): EntryController {
  return defineEntryController<PauseReads, 'pausedEndpoints'>({
    name: 'pauses',
    reads: ['pausedEndpoints', 'control'],
    writes: ['pausedEndpoints'],
    observes: ['endpointSignalled', 'timerDue'],
    run: (view, now) => {
      const {observation} = view;
      switch (observation?.kind) {
        case 'endpointSignalled': {
          const {endpoint, signals} = observation;
          return putPause(view, endpoint, readPause(view, signals), now);
        }
        case 'timerDue':
          return observation.timer.kind === 'housekeeping'
            ? expirePauses(view, now)
            : [];
        default:
          return [];
      }
    },
  });
}

/** Reads how long an endpoint wants nothing, or bears no further rejection. */
function readPause(
  {board}: PauseView,
  {retryAfterMs, rejectionsPerSecond, isRejection}: EndpointSignals,
): Milliseconds {
  const wantedMs = retryAfterMs ?? 0;
  const entries = board.control.directory.entries.length;
  return isRejection && rejectionsPerSecond !== null
    ? Math.max(wantedMs, computeRejectionPause(rejectionsPerSecond, entries))
    : wantedMs;
}

/** Returns whether an endpoint wants nothing from this entry now. */
export function isPaused(
  {pausedEndpoints}: Pick<BoardView<EntrySections>, 'pausedEndpoints'>,
  endpoint: EndpointId,
  now: TurnTime,
): boolean {
  const until = pausedEndpoints.get(endpoint);
  return until !== undefined && until > now.monotonic;
}

/** A later answer may prolong a pause, but not end it. */
function putPause(
  {board}: PauseView,
  key: EndpointId,
  durationMs: Milliseconds,
  now: TurnTime,
): readonly PauseWrite[] {
  const known = board.pausedEndpoints.get(key) ?? 0;
  const value = now.monotonic + durationMs;
  return durationMs > 0 && value > known
    ? [{kind: 'put', section: 'pausedEndpoints', key, value}]
    : [];
}

function expirePauses(
  {board}: PauseView,
  now: TurnTime,
): readonly PauseWrite[] {
  return [...board.pausedEndpoints]
    .filter(([, until]) => until <= now.monotonic)
    .map(([key]) => ({kind: 'delete', section: 'pausedEndpoints', key}));
}
