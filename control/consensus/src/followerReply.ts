import type {TurnTime} from '@gentianshunt/board';
import {assertNever} from '@gentianshunt/errors';

import type {ConsensusDraft} from './consensusDraft.js';
import {
  advanceCommit,
  confirmLeadership,
  stepDownIfRemoved,
} from './leadership.js';
import {listPeers} from './members.js';
import type {AppendReply, Sender, SnapshotChunkReply} from './messageTypes.js';
import {noteAppendReply} from './replication.js';
import {noteChunkReply} from './snapshotSender.js';
import {followTerm} from './terms.js';

/** Notes how far a follower has come, if this member still leads it. */
export function handleFollowerReply(
  draft: ConsensusDraft,
  from: Sender,
  reply: AppendReply | SnapshotChunkReply,
  now: TurnTime,
): void {
  if (reply.term > draft.ballot.term) {
    followTerm(draft, reply.term, null, now);
    return;
  }
  // An answer from another folder of the node vouches for nothing.
  const peer = listPeers(draft).find(
    ({node, storage}) => node === from.node && storage === from.storage,
  );
  if (
    peer === undefined ||
    draft.role.kind !== 'leader' ||
    reply.term !== draft.ballot.term
  ) {
    return;
  }
  switch (reply.kind) {
    case 'appendReply':
      noteAppendReply(draft, peer, reply, now);
      break;
    case 'snapshotChunkReply':
      noteChunkReply(draft, peer, reply, now);
      break;
    default:
      assertNever(reply, 'handleFollowerReply');
  }
  advanceCommit(draft);
  confirmLeadership(draft, now);
  stepDownIfRemoved(draft, now);
}
