import type {TurnTime} from '@gentianshunt/board';
import type {
  FollowerProgress,
  SnapshotTransfer,
} from '@gentianshunt/controlModel';
import type {Member} from '@gentianshunt/messages';

import type {ConsensusDraft} from './consensusDraft.js';
import type {SnapshotChunkReply} from './messageTypes.js';

/** Most items of a snapshot in one message. */
export const MAX_ITEMS_PER_CHUNK = 256;

/** Starts to send the latest snapshot to a follower that is far behind. */
export function startTransfer(
  draft: ConsensusDraft,
  peer: Member,
  now: TurnTime,
): void {
  const {index} = draft.read('snapshot')!;
  sendChunk(draft, peer, {index, offset: 0}, now);
}

/** Sends the chunk under way once more. */
export function resendChunk(
  draft: ConsensusDraft,
  peer: Member,
  progress: FollowerProgress,
  now: TurnTime,
): void {
  sendChunk(draft, peer, progress.transfer!, now);
}

/** Sends a chunk; a newer snapshot starts from its beginning. */
function sendChunk(
  draft: ConsensusDraft,
  peer: Member,
  wanted: SnapshotTransfer,
  now: TurnTime,
): void {
  const {items, ...header} = draft.read('snapshot')!;
  const isCurrent = wanted.index === header.index;
  const offset = isCurrent ? wanted.offset : 0;
  const end = offset + MAX_ITEMS_PER_CHUNK;
  draft.progress.put(peer.node, {
    ...draft.progress.get(peer.node)!,
    inFlight: [],
    progressedAt: now.monotonic,
    transfer: {index: header.index, offset},
  });
  draft.send(
    {node: peer.node, storage: peer.storage},
    {
      kind: 'snapshotChunk',
      term: draft.ballot.term,
      header,
      offset,
      items: items.slice(offset, end),
      isLast: end >= items.length,
      sentAt: Math.floor(now.monotonic),
    },
  );
}

/** Sends the next chunk, if the follower is not done. */
export function noteChunkReply(
  draft: ConsensusDraft,
  peer: Member,
  reply: SnapshotChunkReply,
  now: TurnTime,
): void {
  const progress = draft.progress.get(peer.node)!;
  const confirmedAt = Math.max(progress.confirmedAt, reply.sentAt);
  draft.progress.put(peer.node, {...progress, confirmedAt});
  const {transfer} = progress;
  if (transfer === null || transfer.index !== reply.index) {
    return;
  }
  const isRepeated = reply.received === transfer.offset;
  if (!isRepeated) {
    sendChunk(draft, peer, {...transfer, offset: reply.received}, now);
  }
}
