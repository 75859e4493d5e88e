import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {formatObjectKey} from '@gentianshunt/configuration';
import type {ObjectKey, SetLeadership} from '@gentianshunt/configuration';
import {assertNever} from '@gentianshunt/errors';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  LeaderSilence,
} from '@gentianshunt/entryModel';

/** How long a slot may be used after it was granted. */
export const SLOT_LIFETIME_MS: Milliseconds = 2_000;

/** How long a new leader waits for what the entries hold. */
export const REPORTS_AWAITED_MS: Milliseconds = 100;

const WAIT: LeaderSilence = {kind: 'wait'};

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
 * Where endpoints must never be given too much, the slots of an earlier leader
 * must have lapsed before new ones are granted. Where they queue it, entries
 * need only have told what they hold.
 */
function readGrantsFrom(
  {board}: LeadershipView,
  object: SetLeadership,
  now: TurnTime,
): MonotonicTime {
  const restartOver = board.startedAt + SLOT_LIFETIME_MS;
  const {kind} = board.identity.leaderSilence ?? WAIT;
  switch (kind) {
    case 'takeShare':
      return now.monotonic + REPORTS_AWAITED_MS;
    case 'wait':
      return object.epoch === 1
        ? Math.max(now.monotonic, restartOver)
        : now.monotonic + SLOT_LIFETIME_MS;
    default:
      return assertNever(kind, 'readGrantsFrom');
  }
}
