// A leader keeps a node's request to join the group until the node's data folder
// is a member, or the node no longer says hello.

import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {JoinRequest} from '@gentianshunt/controlModel';

import type {ConsensusDraft} from './consensusDraft.js';
import {isMember} from './members.js';
import type {Sender} from './messageTypes.js';

/** A request that no hello renews for this long is no longer valid. */
export const JOIN_REQUEST_LIFETIME_MS: Milliseconds = 1_000;

/** Records or renews a node's request to join the group. */
export function recordJoinRequest(
  draft: ConsensusDraft,
  {node, storage}: Sender,
  now: TurnTime,
): void {
  const known = draft.joiningNodes.get(node);
  const isRenewed =
    known?.storage === storage && isJoinRequestValid(known, now);
  const since = isRenewed ? known.since : now.monotonic;
  draft.joiningNodes.put(node, {storage, since, renewedAt: now.monotonic});
}

/** Returns whether a hello has renewed the request lately. */
export function isJoinRequestValid(
  {renewedAt}: JoinRequest,
  now: TurnTime,
): boolean {
  return now.monotonic - renewedAt < JOIN_REQUEST_LIFETIME_MS;
}

/** Drops the requests of nodes whose data folders are members. */
export function dropFulfilledJoinRequests(draft: ConsensusDraft): void {
  for (const node of draft.view.board.joiningNodes.keys()) {
    const request = draft.joiningNodes.get(node);
    if (request !== undefined && isMember(draft, node, request.storage)) {
      draft.joiningNodes.delete(node);
    }
  }
}

/** Drops the requests of nodes that no longer say hello. */
export function expireJoinRequests(draft: ConsensusDraft, now: TurnTime): void {
  for (const node of draft.view.board.joiningNodes.keys()) {
    const request = draft.joiningNodes.get(node);
    if (request !== undefined && !isJoinRequestValid(request, now)) {
      draft.joiningNodes.delete(node);
    }
  }
}

/** Drops all requests, as only a leader keeps them. */
export function clearJoinRequests(draft: ConsensusDraft): void {
  for (const node of draft.view.board.joiningNodes.keys()) {
    draft.joiningNodes.delete(node);
  }
}
