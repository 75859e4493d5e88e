import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {findObject, listObjects} from '@gentianshunt/configuration';
import type {ObjectKey} from '@gentianshunt/configuration';
import {
  defineEntryController,
  findEntryAddress,
} from '@gentianshunt/entryModel';
import type {EndpointId} from '@gentianshunt/identifiers';
import type {
  EndpointAnnouncement,
  EndpointRecord,
  EntryController,
  EntryMessage,
  EntryObservation,
  EntrySections,
  EntryWrite,
  HeardAnnouncement,
} from '@gentianshunt/entryModel';

/** An endpoint not heard of for this long gets no new work. */
export const ENDPOINT_LEASE_MS: Milliseconds = 3_000;
/** An endpoint not heard of for this long is forgotten. */
export const ENDPOINT_RETENTION_MS: Milliseconds = 60_000;

/** Earlier incarnations of an endpoint that are remembered. */
export const MAX_REPLACED_INCARNATIONS = 8;

/** How long a new leader is told what endpoints have announced before. */
export const REANNOUNCE_MS: Milliseconds = 600;

type RegistryReads =
  | 'identity'
  | 'control'
  | 'configuration'
  | 'leaderships'
  | 'announcements'
  | 'leaderChanges'
  | 'endpoints';
type RegistryWrites = 'announcements' | 'leaderChanges' | 'endpoints';
type RegistryView = View<EntrySections, RegistryReads, EntryObservation>;
type RegistryWrite = EntryWrite<RegistryWrites>;

/** Creates the controller that knows the endpoints of the led sets. */
export function createEndpointRegistry(): EntryController {
  return defineEntryController<RegistryReads, RegistryWrites>({
    name: 'endpoints',
    reads: [
      'identity',
      'control',
      'configuration',
      'leaderships',
      'announcements',
      'leaderChanges',
      'endpoints',
    ],
    writes: ['announcements', 'leaderChanges', 'endpoints'],
    observes: ['endpointContact', 'endpointLeft', 'entryMessage', 'timerDue'],
    run: (view, now) => [
      ...followLeaders(view, now),
      ...handleObservation(view, now),
    ],
  });
}

function handleObservation(
  view: RegistryView,
  now: TurnTime,
): readonly RegistryWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'endpointContact':
      return noteContact(view, observation.announcement, now);
    case 'endpointLeft':
      return [
        storeHeard(observation.endpoint, {
          kind: 'left',
          heardAt: now.monotonic,
        }),
        ...recordLeave(view, observation.endpoint),
        ...spreadLeave(view, observation.endpoint),
      ];
    case 'entryMessage':
      return handleMessage(view, observation.message, now);
    case 'timerDue':
      return observation.timer.kind === 'housekeeping'
        ? [
            ...ageEndpoints(view, now),
            ...dropAnnouncements(view, now),
            ...repeatAnnouncements(view, now),
          ]
        : [];
    default:
      return [];
  }
}

/** Notes when another entry came to lead a set. */
function followLeaders(
  view: RegistryView,
  now: TurnTime,
): readonly RegistryWrite[] {
  return [...view.readChanges('configuration')].flatMap(
    (key): readonly RegistryWrite[] => {
      const object = view.board.configuration.get(key as ObjectKey);
      return object?.kind === 'setLeadership'
        ? [
            {
              kind: 'put',
              section: 'leaderChanges',
              key: object.id,
              value: now.monotonic,
            },
          ]
        : [];
    },
  );
}

/** A heartbeat sent before the endpoint left may arrive after it. */
function noteContact(
  view: RegistryView,
  announcement: EndpointAnnouncement,
  now: TurnTime,
): readonly RegistryWrite[] {
  const {endpoint} = announcement;
  const known = view.board.announcements.get(endpoint);
  const heard = {
    kind: 'announced',
    announcement,
    heardAt: now.monotonic,
  } as const;
  return [
    ...(known?.kind === 'left' ? [] : [storeHeard(endpoint, heard)]),
    ...routeAnnouncement(view, announcement, now),
  ];
}

function storeHeard(key: EndpointId, value: HeardAnnouncement): RegistryWrite {
  return {kind: 'put', section: 'announcements', key, value};
}

function dropAnnouncements(
  view: RegistryView,
  now: TurnTime,
): readonly RegistryWrite[] {
  return [...view.board.announcements]
    .filter(([, {heardAt}]) => now.monotonic - heardAt > ENDPOINT_LEASE_MS)
    .map(([key]) => ({kind: 'delete', section: 'announcements', key}));
}

/**
 * Tells a new leader what endpoints announced while there was none. It may
 * learn a little later that it leads, so it is told more than once.
 */
function repeatAnnouncements(
  view: RegistryView,
  now: TurnTime,
): readonly RegistryWrite[] {
  const {announcements, leaderChanges} = view.board;
  const isNew = (changedAt: MonotonicTime | undefined): boolean =>
    changedAt !== undefined && now.monotonic - changedAt <= REANNOUNCE_MS;
  const isAnyNew = [...leaderChanges.values()].some(isNew);
  return [...announcements].flatMap(([endpoint, heard]) => {
    switch (heard.kind) {
      case 'announced': {
        const {announcement} = heard;
        return isNew(leaderChanges.get(announcement.set))
          ? routeAnnouncement(view, announcement, now)
          : [];
      }
      case 'left':
        return isAnyNew
          ? [...recordLeave(view, endpoint), ...spreadLeave(view, endpoint)]
          : [];
    }
  });
}

function handleMessage(
  view: RegistryView,
  message: EntryMessage,
  now: TurnTime,
): readonly RegistryWrite[] {
  switch (message.kind) {
    case 'endpointAnnounced':
      return recordAnnouncement(view, message.announcement, now);
    case 'endpointLeft':
      return recordLeave(view, message.endpoint);
    default:
      return [];
  }
}

/** Marks an endpoint as leaving wherever it is known. */
function recordLeave(
  view: RegistryView,
  endpoint: EndpointId,
): readonly RegistryWrite[] {
  const writes: RegistryWrite[] = [];
  for (const {key, value} of view.board.endpoints.iterateFrom()) {
    if (key.endpoint === endpoint) {
      const announcement = {...value.announcement, leaving: true};
      const left = {...value, announcement, state: 'leaving'} as const;
      writes.push({kind: 'put', section: 'endpoints', key, value: left});
    }
  }
  return writes;
}

/** The leaver does not name its set, so the leaders of all sets are told. */
function spreadLeave(
  view: RegistryView,
  endpoint: EndpointId,
): readonly RegistryWrite[] {
  const {configuration, identity, control} = view.board;
  const leaders = new Set(
    listObjects(configuration, 'setLeadership').map(({node}) => node),
  );
  leaders.delete(identity.address.node);
  return [...leaders].flatMap(to => {
    const address = findEntryAddress(control.directory, to);
    const message = {kind: 'endpointLeft', endpoint} as const;
    return address === undefined
      ? []
      : [{kind: 'order', order: {kind: 'sendEntry', to, address, message}}];
  });
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
  if (
    known?.replaced.includes(incarnation) === true ||
    (known !== undefined && isOvertaken(announcement, known.announcement))
  ) {
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

/** Tells whether something later has been heard of the endpoint. */
function isOvertaken(
  {order}: EndpointAnnouncement,
  {order: known}: EndpointAnnouncement,
): boolean {
  if (order === undefined || known === undefined) {
    return false;
  }
  return order.startedAtMs === known.startedAtMs
    ? order.sequence < known.sequence
    : order.startedAtMs < known.startedAtMs;
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
