import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {formatObjectKey} from '@gentianshunt/configuration';
import type {ObjectKey, SetLeadership} from '@gentianshunt/configuration';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';

/** How long a slot may be used after it was granted. */
export const SLOT_LIFETIME_MS: Milliseconds = 2_000;

type LeadershipReads =
  'identity' | 'configuration' | 'startedAt' | 'leaderships';
type LeadershipWrites = 'startedAt' | 'leaderships';
type LeadershipView = View<EntrySections, LeadershipReads, EntryObservation>;
type LeadershipWrite = EntryWrite<LeadershipWrites>;

/** Creates the controller that tells which sets this entry leads. */
export function createLeadershipController(): EntryController {
  return defineEntryController<LeadershipReads, LeadershipWrites>({
    name: 'leadership',
    reads: ['identity', 'configuration', 'startedAt', 'leaderships'],
    writes: ['startedAt', 'leaderships'],
    observes: ['started'],
    run: (view, now) => {
      if (view.observation?.kind === 'started') {
        return [{kind: 'set', section: 'startedAt', value: now.monotonic}];
      }
      return [...view.readChanges('configuration')].flatMap(key =>
        followObject(view, key as ObjectKey, now),
      );
    },
  });
}

function followObject(
  view: LeadershipView,
  key: ObjectKey,
  now: TurnTime,
): readonly LeadershipWrite[] {
  const object = view.board.configuration.get(key);
  if (object === undefined) {
    return [...view.board.leaderships.keys()]
      .filter(set => formatObjectKey('setLeadership', set) === key)
      .map(set => ({kind: 'delete', section: 'leaderships', key: set}));
  }
  return object.kind === 'setLeadership'
    ? followLeadership(view, object, now)
    : [];
}

function followLeadership(
  view: LeadershipView,
  object: SetLeadership,
  now: TurnTime,
): readonly LeadershipWrite[] {
  const {identity, leaderships} = view.board;
  const led = leaderships.get(object.id);
  if (object.node !== identity.address.node) {
    return led === undefined
      ? []
      : [{kind: 'delete', section: 'leaderships', key: object.id}];
  }
  if (led?.epoch === object.epoch) {
    return [];
  }
  return [
    {
      kind: 'put',
      section: 'leaderships',
      key: object.id,
      value: {
        set: object.id,
        epoch: object.epoch,
        grantsFrom: readGrantsFrom(view, object, now),
      },
    },
  ];
}

/**
 * Slots of an earlier leader, or of an earlier start of this process, must
 * have lapsed before new ones are granted.
 */
function readGrantsFrom(
  view: LeadershipView,
  object: SetLeadership,
  now: TurnTime,
): MonotonicTime {
  const restartOver = view.board.startedAt + SLOT_LIFETIME_MS;
  return object.epoch === 1
    ? Math.max(now.monotonic, restartOver)
    : now.monotonic + SLOT_LIFETIME_MS;
}
