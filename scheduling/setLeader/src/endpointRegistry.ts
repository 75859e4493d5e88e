import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import {findObject, listObjects} from '@gentianshunt/configuration';
import type {ObjectKey} from '@gentianshunt/configuration';
import {
  defineEntryController,
  findEntryAddress,
  findLeftIncarnation,
  isLaterIncarnation,
  isWithdrawn,
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
  LeftIncarnation,
  ReceivedAnnouncement,
} from '@gentianshunt/entryModel';

/** An endpoint without an announcement for this long gets no new requests. */
export const ENDPOINT_LEASE_MS: Milliseconds = 3_000;
/** An endpoint without an announcement for this long is removed. */
export const ENDPOINT_RETENTION_MS: Milliseconds = 60_000;

/** How many earlier incarnations of an endpoint are remembered. */
export const MAX_REPLACED_INCARNATIONS = 8;

/** How long earlier announcements are resent to a new leader. */
export const REANNOUNCE_MS: Milliseconds = 600;

type RegistryReads =
  | 'identity'
  | 'control'
  | 'configuration'
  | 'leaderships'
  | 'announcements'
  | 'leaderChanges'
  | 'endpoints'
  | 'withdrawnEndpoints';
type RegistryWrites = 'announcements' | 'leaderChanges' | 'endpoints';
type RegistryView = View<EntrySections, RegistryReads, EntryObservation>;
type RegistryWrite = EntryWrite<RegistryWrites>;

/**
 * Creates the controller that registers the endpoints of the led sets and
 * forwards the announcements of other endpoints to the leaders of their sets.
 */
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
      'withdrawnEndpoints',
    ],
    writes: ['announcements', 'leaderChanges', 'endpoints'],
    observes: ['endpointContact', 'endpointLeft', 'entryMessage', 'timerDue'],
    run: (view, now) => [
      ...recordLeaderChanges(view, now),
      ...recordWithdrawals(view),
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
      return recordContact(view, observation.announcement, now);
    case 'endpointLeft': {
      const {endpoint} = observation;
      const left = findLeftIncarnation(view.board, endpoint, now);
      const receivedAt = now.monotonic;
      return [
        putAnnouncement(endpoint, {kind: 'left', left, receivedAt}),
        ...recordLeave(view, endpoint, left),
        ...broadcastLeave(view, endpoint, left),
      ];
    }
    case 'entryMessage':
      return handleMessage(view, observation.message, now);
    case 'timerDue':
      return observation.timer.kind === 'housekeeping'
        ? [
            ...expireEndpoints(view, now),
            ...dropAnnouncements(view, now),
            ...resendAnnouncements(view, now),
          ]
        : [];
    default:
      return [];
  }
}

/** Records when the leadership of a set changed. */
function recordLeaderChanges(
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

/** Marks the recorded endpoints as leaving that other entries withdrew. */
function recordWithdrawals(view: RegistryView): readonly RegistryWrite[] {
  const changed = [...view.readChanges('withdrawnEndpoints')];
  return changed.flatMap(key => {
    const known = view.board.withdrawnEndpoints.get(key as EndpointId);
    return known === undefined
      ? []
      : recordLeave(view, key as EndpointId, known.left);
  });
}

/**
 * Records and forwards an announcement. One that was sent before the endpoint
 * left may arrive later; it does not replace the recorded leave, and it is
 * forwarded as the announcement of an endpoint that leaves.
 */
function recordContact(
  view: RegistryView,
  contact: EndpointAnnouncement,
  now: TurnTime,
): readonly RegistryWrite[] {
  const {endpoint} = contact;
  const announcement = updateLeaving(view, contact);
  const known = view.board.announcements.get(endpoint);
  const isLeft =
    known?.kind === 'left' && !isLaterIncarnation(contact, known.left);
  const received = {
    kind: 'announced',
    announcement,
    receivedAt: now.monotonic,
  } as const;
  return [
    ...(isLeft ? [] : [putAnnouncement(endpoint, received)]),
    ...routeAnnouncement(view, announcement, now),
  ];
}

/** Returns an announcement as leaving if it is a late one after a leave. */
function updateLeaving(
  {board}: RegistryView,
  announcement: EndpointAnnouncement,
): EndpointAnnouncement {
  return isWithdrawn(board.withdrawnEndpoints, announcement)
    ? {...announcement, leaving: true}
    : announcement;
}

function putAnnouncement(
  key: EndpointId,
  value: ReceivedAnnouncement,
): RegistryWrite {
  return {kind: 'put', section: 'announcements', key, value};
}

function dropAnnouncements(
  view: RegistryView,
  now: TurnTime,
): readonly RegistryWrite[] {
  return [...view.board.announcements]
    .filter(
      ([, {receivedAt}]) => now.monotonic - receivedAt > ENDPOINT_LEASE_MS,
    )
    .map(([key]) => ({kind: 'delete', section: 'announcements', key}));
}

/**
 * Resends recent announcements to a new leader, because endpoints may have
 * announced while the set had none. The leader may learn of its leadership
 * after the first message, so they are sent more than once.
 */
function resendAnnouncements(
  view: RegistryView,
  now: TurnTime,
): readonly RegistryWrite[] {
  const {announcements, leaderChanges} = view.board;
  const isRecent = (changedAt: MonotonicTime | undefined): boolean =>
    changedAt !== undefined && now.monotonic - changedAt <= REANNOUNCE_MS;
  const isAnyRecent = [...leaderChanges.values()].some(isRecent);
  return [...announcements].flatMap(([endpoint, received]) => {
    switch (received.kind) {
      case 'announced': {
        const {announcement} = received;
        return isRecent(leaderChanges.get(announcement.set))
          ? routeAnnouncement(view, announcement, now)
          : [];
      }
      case 'left':
        return isAnyRecent
          ? [
              ...recordLeave(view, endpoint, received.left),
              ...broadcastLeave(view, endpoint, received.left),
            ]
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
      return recordLeave(view, message.endpoint, message.left);
    default:
      return [];
  }
}

/** Marks an endpoint that left as leaving in every led set that has it. */
function recordLeave(
  view: RegistryView,
  endpoint: EndpointId,
  left: LeftIncarnation,
): readonly RegistryWrite[] {
  const writes: RegistryWrite[] = [];
  for (const {key, value} of view.board.endpoints.iterateFrom()) {
    const isLeft = !isLaterIncarnation(value.announcement, left);
    if (key.endpoint === endpoint && isLeft && value.state !== 'leaving') {
      const announcement = {...value.announcement, leaving: true};
      const left = {...value, announcement, state: 'leaving'} as const;
      writes.push({kind: 'put', section: 'endpoints', key, value: left});
    }
  }
  return writes;
}

/**
 * Sends the leave of an endpoint to the leaders of all sets, because the
 * endpoint does not name its set when it leaves.
 */
function broadcastLeave(
  view: RegistryView,
  endpoint: EndpointId,
  left: LeftIncarnation,
): readonly RegistryWrite[] {
  const {configuration, identity, control} = view.board;
  const leaders = new Set(
    listObjects(configuration, 'setLeadership').map(({node}) => node),
  );
  leaders.delete(identity.address.node);
  return [...leaders].flatMap(to => {
    const address = findEntryAddress(control.directory, to);
    const message = {
      kind: 'endpointLeft',
      endpoint,
      left,
      isConfirmationRequested: false,
    } as const;
    return address === undefined
      ? []
      : [{kind: 'effect', effect: {kind: 'sendEntry', to, address, message}}];
  });
}

/**
 * Passes an announcement to the leader of the endpoint's set, which may be this
 * entry.
 */
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
      kind: 'effect',
      effect: {
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
  const current = updateLeaving(view, announcement);
  const record = createEndpointRecord(known, current, now);
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
 * Announcements may arrive out of order: those of a replaced incarnation are
 * dropped, and an incarnation that announced its leave stays leaving.
 */
function createEndpointRecord(
  known: EndpointRecord | undefined,
  announcement: EndpointAnnouncement,
  now: TurnTime,
): EndpointRecord | undefined {
  const {incarnation} = announcement;
  if (
    known?.replaced.includes(incarnation) === true ||
    (known !== undefined && isOutdated(announcement, known.announcement))
  ) {
    return undefined;
  }
  const isSame = known?.announcement.incarnation === incarnation;
  const isLeaving =
    announcement.leaving || (isSame && known.announcement.leaving);
  return {
    announcement: {...announcement, leaving: isLeaving},
    seenAt: now.monotonic,
    state: isLeaving ? 'leaving' : 'active',
    replaced:
      known === undefined || isSame
        ? (known?.replaced ?? [])
        : [known.announcement.incarnation, ...known.replaced].slice(
            0,
            MAX_REPLACED_INCARNATIONS,
          ),
  };
}

/** Returns whether a later announcement of the endpoint was received. */
function isOutdated(
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

function expireEndpoints(
  view: RegistryView,
  now: TurnTime,
): readonly RegistryWrite[] {
  const writes: RegistryWrite[] = [];
  for (const {key, value} of view.board.endpoints.iterateFrom()) {
    const silentMs = now.monotonic - value.seenAt;
    const isLed = view.board.leaderships.has(key.set);
    if (silentMs > ENDPOINT_RETENTION_MS || !isLed) {
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
