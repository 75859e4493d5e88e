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
  LeaderSilencePolicy,
} from '@gentianshunt/entryModel';

import {ENDPOINT_LEASE_MS} from './endpointRecords.js';

/** How long an entry may use a slot after it was granted. */
export const SLOT_LIFETIME_MS: Milliseconds = 2_000;

/** How long a new leader collects demand reports before it grants slots. */
export const REPORT_COLLECTION_MS: Milliseconds = 100;

const DEFAULT_LEADER_SILENCE: LeaderSilencePolicy = {kind: 'wait'};

type LeadershipReads =
  | 'identity'
  | 'configuration'
  | 'startedAt'
  | 'leaderships'
  | 'knownEndpoints'
  | 'inheritedEndpoints';
type LeadershipWrites = 'startedAt' | 'leaderships' | 'inheritedEndpoints';
type LeadershipView = View<EntrySections, LeadershipReads, EntryObservation>;
type LeadershipWrite = EntryWrite<LeadershipWrites>;

/** Creates the controller that records which sets this entry leads. */
export function createLeadershipController(): EntryController {
  return defineEntryController<LeadershipReads, LeadershipWrites>({
    name: 'leadership',
    reads: [
      'identity',
      'configuration',
      'startedAt',
      'leaderships',
      'knownEndpoints',
      'inheritedEndpoints',
    ],
    writes: ['startedAt', 'leaderships', 'inheritedEndpoints'],
    observes: ['started', 'timerDue'],
    run: (view, now) => {
      if (view.observation?.kind === 'started') {
        return [{kind: 'set', section: 'startedAt', value: now.monotonic}];
      }
      return [
        ...dropInherited(view, now),
        ...[...view.readChanges('configuration')].flatMap(key =>
          applyConfigurationChange(view, key as ObjectKey, now),
        ),
      ];
    },
  });
}

function applyConfigurationChange(
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
    ? updateLeadership(view, object, now)
    : [];
}

function updateLeadership(
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
        grantsFrom: computeGrantsFrom(view, object, now),
      },
    },
    ...takeInherited(view, object, now),
  ];
}

/**
 * Takes over the endpoints that the previous leader listed. They may go on
 * announcing themselves to that one for a while, if it does not know that it was
 * replaced.
 */
function takeInherited(
  {board}: LeadershipView,
  {id: set}: SetLeadership,
  now: TurnTime,
): readonly LeadershipWrite[] {
  const known = board.knownEndpoints.get(set);
  if (known === undefined || known.endpoints.length === 0) {
    return [];
  }
  const {endpoints, digest} = known;
  const until = now.monotonic + ENDPOINT_LEASE_MS;
  return [
    {
      kind: 'put',
      section: 'inheritedEndpoints',
      key: set,
      value: {endpoints, digest, until},
    },
  ];
}

/** Drops what was inherited too long ago, or of sets that others lead now. */
function dropInherited(
  {board}: LeadershipView,
  now: TurnTime,
): readonly LeadershipWrite[] {
  return [...board.inheritedEndpoints]
    .filter(
      ([set, {until}]) => until <= now.monotonic || !board.leaderships.has(set),
    )
    .map(([key]) => ({kind: 'delete', section: 'inheritedEndpoints', key}));
}

/**
 * Computes when a new leader may grant slots. If endpoints must never get more
 * requests than their capacity, the slots of the earlier leader must have
 * expired. If they queue the excess, it is enough that the entries had time to
 * report what they run.
 */
function computeGrantsFrom(
  {board}: LeadershipView,
  object: SetLeadership,
  now: TurnTime,
): MonotonicTime {
  const restartGrantsFrom = board.startedAt + SLOT_LIFETIME_MS;
  const {kind} = board.identity.leaderSilence ?? DEFAULT_LEADER_SILENCE;
  switch (kind) {
    case 'useFallbackCapacity':
      return now.monotonic + REPORT_COLLECTION_MS;
    case 'wait':
      return object.epoch === 1
        ? Math.max(now.monotonic, restartGrantsFrom)
        : now.monotonic + SLOT_LIFETIME_MS;
    default:
      return assertNever(kind, 'computeGrantsFrom');
  }
}
