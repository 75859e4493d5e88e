// What an entry learns and tells of the members of the control group.
import type {TurnTime} from '@gentianshunt/board';
import {isLeaseValid} from '@gentianshunt/clock';
import type {Instant, Milliseconds} from '@gentianshunt/clock';
import type {NodeId} from '@gentianshunt/identifiers';

import type {ControlView, ControlWrite} from './controlSections.js';
import {followLeader} from './heartbeats.js';

/** Time between two broadcasts of the member list. */
const BROADCAST_INTERVAL_MS: Milliseconds = 2_000;

/** Adds nodes that may run the leading control daemon. */
export function addNodes(
  {board}: ControlView,
  nodes: readonly NodeId[],
): readonly ControlWrite[] {
  const value = [...new Set([...board.controlNodes, ...nodes])];
  return [{kind: 'set', section: 'controlNodes', value}];
}

/** Sends the leader and the members of the control group to an entry. */
export function redirectEntry(view: ControlView, to: NodeId): ControlWrite {
  const {control, controlNodes} = view.board;
  const {leader} = control;
  return {
    kind: 'effect',
    effect: {kind: 'redirectEntry', to, leader, members: controlNodes},
  };
}

/**
 * Stores the members of the control group, followed by the nodes that the
 * settings name. Without a lease or a known leader, follows the first member.
 */
export function followMembers(
  view: ControlView,
  members: readonly NodeId[],
  now: TurnTime,
): readonly ControlWrite[] {
  const {control, controlNodes, identity} = view.board;
  const value = [...new Set([...members, ...identity.controlNodes])];
  const isSame =
    value.length === controlNodes.length &&
    value.every((node, index) => node === controlNodes[index]);
  if (isSame) {
    return [];
  }
  const [leader] = members;
  const isFollowed =
    leader !== undefined &&
    control.leader === null &&
    !isLeaseValid(control.lease, now);
  return [
    {kind: 'set', section: 'controlNodes', value},
    ...(isFollowed ? followLeader(view, control, leader, now) : []),
  ];
}

/**
 * Sends the members of the control group to the nodes that the settings name.
 * Entries that start with the same settings ask these nodes, which may not have
 * the list otherwise.
 */
export function broadcastMembers(
  {board}: ControlView,
  now: TurnTime,
): readonly ControlWrite[] {
  const {control, controlNodes, identity} = board;
  if (!isLeaseValid(control.lease, now)) {
    return [];
  }
  const others = identity.controlNodes.filter(
    node => node !== identity.address.node && node !== control.leader,
  );
  return others.map(to => ({
    kind: 'effect',
    effect: {kind: 'redirectEntry', to, leader: null, members: controlNodes},
  }));
}

/**
 * Returns whether a broadcast is due with the next heartbeat. It is needed only
 * if the settings do not name all members.
 */
export function isBroadcastDue({board}: ControlView, now: TurnTime): boolean {
  const {identity, control} = board;
  const latest = control.heartbeats.at(-1);
  return (
    identity.broadcastsMembers === true &&
    latest !== undefined &&
    countIntervals(latest.sentAt) < countIntervals(now)
  );
}

function countIntervals({monotonic}: Instant): number {
  return Math.floor(monotonic / BROADCAST_INTERVAL_MS);
}
