import type {TurnTime} from '@gentianshunt/board';
import type {ObjectKey} from '@gentianshunt/configuration';
import {
  defineEntryController,
  findLeftIncarnation,
} from '@gentianshunt/entryModel';
import type {EntryController, EntryMessage} from '@gentianshunt/entryModel';

import {
  dropAnnouncements,
  putAnnouncement,
  recordContact,
  resendAnnouncements,
} from './announcements.js';
import {
  broadcastLeave,
  recordLeave,
  recordWithdrawals,
} from './endpointLeaves.js';
import {expireEndpoints, recordAnnouncement} from './endpointRecords.js';
import type {
  RegistryReads,
  RegistryView,
  RegistryWrite,
  RegistryWrites,
} from './registryView.js';

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
