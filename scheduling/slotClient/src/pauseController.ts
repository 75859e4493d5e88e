import type {BoardView, TurnTime, View} from '@gentianshunt/board';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';
import type {EndpointId} from '@gentianshunt/identifiers';

type PauseView = View<EntrySections, 'pausedEndpoints', EntryObservation>;
type PauseWrite = EntryWrite<'pausedEndpoints'>;

/**
 * Creates the controller that records which endpoints turned a request of this
 * entry away and for how long they want nothing from it.
 */
export function createPauseController(): EntryController {
  return defineEntryController<'pausedEndpoints', 'pausedEndpoints'>({
    name: 'pauses',
    reads: ['pausedEndpoints'],
    writes: ['pausedEndpoints'],
    observes: ['endpointSignalled', 'timerDue'],
    run: (view, now) => {
      const {observation} = view;
      switch (observation?.kind) {
        case 'endpointSignalled': {
          const {endpoint, signals} = observation;
          return putPause(view, endpoint, signals.retryAfterMs ?? 0, now);
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
  durationMs: number,
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
