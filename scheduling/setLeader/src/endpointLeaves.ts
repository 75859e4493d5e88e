// What the registry does when an endpoint leaves.
import {listObjects} from '@gentianshunt/configuration';
import {
  findEntryAddress,
  isLaterIncarnation,
  isWithdrawn,
} from '@gentianshunt/entryModel';
import type {EndpointId} from '@gentianshunt/identifiers';
import type {
  EndpointAnnouncement,
  LeftIncarnation,
} from '@gentianshunt/entryModel';

import type {RegistryView, RegistryWrite} from './registryView.js';

/** Marks the recorded endpoints as leaving that other entries withdrew. */
export function recordWithdrawals(
  view: RegistryView,
): readonly RegistryWrite[] {
  const changed = [...view.readChanges('withdrawnEndpoints')];
  return changed.flatMap(key => {
    const known = view.board.withdrawnEndpoints.get(key as EndpointId);
    return known === undefined
      ? []
      : recordLeave(view, key as EndpointId, known.left);
  });
}

/** Returns an announcement as leaving if it is a late one after a leave. */
export function updateLeaving(
  {board}: RegistryView,
  announcement: EndpointAnnouncement,
): EndpointAnnouncement {
  return isWithdrawn(board.withdrawnEndpoints, announcement)
    ? {...announcement, leaving: true}
    : announcement;
}

/** Marks an endpoint that left as leaving in every led set that has it. */
export function recordLeave(
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
export function broadcastLeave(
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
