// What entries learn of the members of the control log.
import type {NodeId} from '@gentianshunt/identifiers';

import {send} from './sessionWrites.js';
import type {SessionView, SessionWrite} from './sessionWrites.js';

/**
 * Sends an entry the current control daemons. With a fixed list in the settings
 * there is nothing to send.
 */
export function sendMembers(
  view: SessionView,
  to: NodeId,
): readonly SessionWrite[] {
  const {identity, memberships} = view.board;
  if (identity.admission.kind === 'listed') {
    return [];
  }
  const members = memberships[memberships.length - 1]?.members ?? [];
  const nodes = members.map(({node}) => node);
  return nodes.length === 0
    ? []
    : [send(to, {kind: 'membersUpdate', members: nodes})];
}

/** Broadcasts a change of the members to all entries. */
export function broadcastMembers(view: SessionView): readonly SessionWrite[] {
  const {role, sessions} = view.board;
  const isChanged = view.readChanges('memberships').size > 0;
  return isChanged && role.kind === 'leader'
    ? [...sessions.keys()].flatMap(node => sendMembers(view, node))
    : [];
}
