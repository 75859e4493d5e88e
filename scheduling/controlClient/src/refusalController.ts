import type {TurnTime, View} from '@gentianshunt/board';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  Refusal,
  RefusalRecord,
} from '@gentianshunt/entryModel';

/** Maximum number of refusals stored for operators' queries. */
export const MAX_REFUSALS = 1_000;

type RefusalView = View<EntrySections, 'refusals', EntryObservation>;
type RefusalWrite = EntryWrite<'refusals'>;

/** Creates the controller that stores the latest refusals. */
export function createRefusalController(): EntryController {
  return defineEntryController<'refusals', 'refusals'>({
    name: 'refusals',
    reads: ['refusals'],
    writes: ['refusals'],
    observes: ['callerRefused', 'requestEnded'],
    run: (view, now) => {
      const {observation} = view;
      switch (observation?.kind) {
        case 'callerRefused':
          return addRefusal(view, observation.refusal, null, now);
        case 'requestEnded':
          return observation.end.kind === 'refused'
            ? addRefusal(
                view,
                observation.end.refusal,
                observation.request,
                now,
              )
            : [];
        default:
          return [];
      }
    },
  });
}

/**
 * Stores a refusal. An admitted request is observed twice, when its caller is
 * refused and when it ends; the second record replaces the first and adds the
 * request.
 */
function addRefusal(
  view: RefusalView,
  refusal: Refusal,
  request: RefusalRecord['request'],
  now: TurnTime,
): readonly RefusalWrite[] {
  const latest = view.board.refusals.readLast()?.value;
  const number =
    latest?.refusal.request === refusal.request
      ? latest.number
      : (latest?.number ?? 0) + 1;
  const value: RefusalRecord = {number, at: now.wall, refusal, request};
  const surplus = number - MAX_REFUSALS;
  return [
    {kind: 'put', section: 'refusals', key: number, value},
    ...(surplus > 0
      ? [{kind: 'delete', section: 'refusals', key: surplus} as const]
      : []),
  ];
}
