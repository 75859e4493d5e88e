import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import {
  defineEntryController,
  findEntryAddress,
} from '@gentianshunt/entryModel';
import type {
  EndpointAnnouncement,
  EndpointRecord,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';

/** An endpoint not heard of for this long gets no new work. */
export const ENDPOINT_LEASE_MS: Milliseconds = 3_000;
/** An endpoint not heard of for this long is forgotten. */
export const ENDPOINT_RETENTION_MS: Milliseconds = 60_000;

/** Earlier incarnations of an endpoint that are remembered. */
export const MAX_REPLACED_INCARNATIONS = 8;

type RegistryReads =
  'identity' | 'control' | 'configuration' | 'leaderships' | 'endpoints';
type RegistryView = View<EntrySections, RegistryReads, EntryObservation>;
type RegistryWrite = EntryWrite<'endpoints'>;

/** Creates the controller that knows the endpoints of the led sets. */
export function createEndpointRegistry(): EntryController {
  return defineEntryController<RegistryReads, 'endpoints'>({
    name: 'endpoints',
    reads: ['identity', 'control', 'configuration', 'leaderships', 'endpoints'],
    writes: ['endpoints'],
    observes: ['endpointContact', 'entryMessage', 'timerDue'],
    run: (view, now) => handleObservation(view, now),
  });
}

function handleObservation(
  view: RegistryView,
  now: TurnTime,
): readonly RegistryWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'endpointContact':
      return routeAnnouncement(view, observation.announcement, now);
    case 'entryMessage':
      return observation.message.kind === 'endpointAnnounced'
        ? recordAnnouncement(view, observation.message.announcement, now)
        : [];
    case 'timerDue':
      return observation.timer.kind === 'housekeeping'
        ? ageEndpoints(view, now)
        : [];
    default:
      return [];
  }
}

/** Hands an announcement to the leader of the endpoint's set. */
function routeAnnouncement(
  view: RegistryView,
  announcement: EndpointAnnouncement,
  now: TurnTime,
): readonly RegistryWrite[] {
  const {configuration, identity, control} = view.board;
  const leadership = findObject(
    configuration,
    'setLeadership',
    announcement.set,
  );
  if (leadership === undefined) {
    return [];
  }
  if (leadership.node === identity.address.node) {
    return recordAnnouncement(view, announcement, now);
  }
  const address = findEntryAddress(control.directory, leadership.node);
  if (address === undefined) {
    return [];
  }
  return [
    {
      kind: 'order',
      order: {
        kind: 'sendEntry',
        to: leadership.node,
        address,
        message: {kind: 'endpointAnnounced', announcement},
      },
    },
  ];
}

function recordAnnouncement(
  view: RegistryView,
  announcement: EndpointAnnouncement,
  now: TurnTime,
): readonly RegistryWrite[] {
  if (!view.board.leaderships.has(announcement.set)) {
    return [];
  }
  const {set, endpoint} = announcement;
  const known = view.board.endpoints.get({set, endpoint});
  const record = createRecord(known, announcement, now);
  if (record === undefined) {
    return [];
  }
  return [
    {
      kind: 'put',
      section: 'endpoints',
      key: {set: announcement.set, endpoint: announcement.endpoint},
      value: record,
    },
  ];
}

/**
 * Announcements may arrive out of order: one of a replaced incarnation is
 * dropped, and an incarnation that said it leaves does not come back.
 */
function createRecord(
  known: EndpointRecord | undefined,
  announcement: EndpointAnnouncement,
  now: TurnTime,
): EndpointRecord | undefined {
  const {incarnation} = announcement;
  if (known?.replaced.includes(incarnation) === true) {
    return undefined;
  }
  const isSame = known?.announcement.incarnation === incarnation;
  const leaves = announcement.leaving || (isSame && known.announcement.leaving);
  return {
    announcement: {...announcement, leaving: leaves},
    seenAt: now.monotonic,
    state: leaves ? 'leaving' : 'active',
    replaced:
      known === undefined || isSame
        ? (known?.replaced ?? [])
        : [known.announcement.incarnation, ...known.replaced].slice(
            0,
            MAX_REPLACED_INCARNATIONS,
          ),
  };
}

function ageEndpoints(
  view: RegistryView,
  now: TurnTime,
): readonly RegistryWrite[] {
  const writes: RegistryWrite[] = [];
  for (const {key, value} of view.board.endpoints.iterateFrom()) {
    const silentMs = now.monotonic - value.seenAt;
    const led = view.board.leaderships.has(key.set);
    if (silentMs > ENDPOINT_RETENTION_MS || !led) {
      writes.push({kind: 'delete', section: 'endpoints', key});
    } else if (silentMs > ENDPOINT_LEASE_MS && value.state === 'active') {
      writes.push({
        kind: 'put',
        section: 'endpoints',
        key,
        value: {...value, state: 'silent'},
      });
    }
  }
  return writes;
}
