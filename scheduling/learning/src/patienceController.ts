import type {TurnTime, View} from '@gentianshunt/board';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';
import {
  createPatienceRecord,
  recordWait,
  toGeneralClass,
  toRequestClass,
} from '@gentianshunt/policy';
import type {ObservedWait, RequestClass} from '@gentianshunt/policy';

type PatienceReads = 'requests' | 'dispatches' | 'patience';
type PatienceView = View<EntrySections, PatienceReads, EntryObservation>;
type PatienceWrite = EntryWrite<'patience'>;

/**
 * Creates the controller that learns how long callers wait. It runs before the
 * controller that removes ended requests from the board.
 */
export function createPatienceController(): EntryController {
  return defineEntryController<PatienceReads, 'patience'>({
    name: 'patience',
    reads: ['requests', 'dispatches', 'patience'],
    writes: ['patience'],
    observes: ['callerGone', 'streamEnded'],
    run: (view, now) => {
      const {observation} = view;
      switch (observation?.kind) {
        case 'callerGone':
          return learnWait(view, observation.request, true, now);
        case 'streamEnded': {
          const request = view.board.dispatches.get(observation.dispatch);
          return request !== undefined && observation.end.kind === 'complete'
            ? learnWait(view, request, false, now)
            : [];
        }
        default:
          return [];
      }
    },
  });
}

function learnWait(
  view: PatienceView,
  id: AdmittedRequest['id'],
  left: boolean,
  now: TurnTime,
): readonly PatienceWrite[] {
  const request = view.board.requests.get(id)?.request;
  if (request === undefined) {
    return [];
  }
  const wait = {waitedMs: now.monotonic - request.arrivedAt, left};
  return [
    updateClass(view, toRequestClass(request), wait),
    updateClass(view, toGeneralClass(request), wait),
  ];
}

function updateClass(
  view: PatienceView,
  key: RequestClass,
  wait: ObservedWait,
): PatienceWrite {
  const before = view.board.patience.get(key) ?? createPatienceRecord();
  const value = recordWait(before, wait);
  return {kind: 'put', section: 'patience', key, value};
}
