import type {TurnTime} from '@gentianshunt/board';
import {assertNever} from '@gentianshunt/errors';

import {becomeFollower} from './becomeFollower.js';
import type {ConsensusDraft} from './consensusDraft.js';
import {
  advanceCommitIndex,
  confirmLeadership,
  stepDownIfRemoved,
} from './leadership.js';
import {confirmFolder} from './lostFolders.js';
import {listPeers} from './members.js';
import type {AppendReply, Sender, SnapshotChunkReply} from './messageTypes.js';
import {handleAppendReply} from './replication.js';
import {handleChunkReply} from './snapshotSender.js';

/** Updates a follower's progress, if this member is still its leader. */
export function handleFollowerReply(
  draft: ConsensusDraft,
  from: Sender,
  reply: AppendReply | SnapshotChunkReply,
  now: TurnTime,
): void {
  if (reply.term > draft.ballot.term) {
    becomeFollower(draft, reply.term, null, now);
    return;
  }
  // A reply from another folder of the node does not count: the member's own
  // folder may lack the entries.
  const peer = listPeers(draft).find(
    ({node, storage}) => node === from.node && storage === from.storage,
  );
  if (
    peer === undefined ||
    draft.role.kind !== 'leader' ||
    reply.term !== draft.ballot.term ||
    !confirmFolder(draft, peer.node, reply.sentAt)
  ) {
    return;
  }
  switch (reply.kind) {
    case 'appendReply':
      handleAppendReply(draft, peer, reply, now);
      break;
    case 'snapshotChunkReply':
      handleChunkReply(draft, peer, reply, now);
      break;
    default:
      assertNever(reply, 'handleFollowerReply');
  }
  advanceCommitIndex(draft);
  confirmLeadership(draft, now);
  stepDownIfRemoved(draft, now);
}
