import type {TurnTime} from '@gentianshunt/board';
import type {
  FollowerProgress,
  SnapshotTransfer,
} from '@gentianshunt/controlModel';
import type {Member} from '@gentianshunt/messages';

import type {ConsensusDraft} from './consensusDraft.js';
import type {SnapshotChunkReply} from './messageTypes.js';

/** Maximum number of snapshot items in one chunk. */
export const MAX_ITEMS_PER_CHUNK = 256;

/** Starts to send the latest snapshot to a follower that lacks old entries. */
export function startTransfer(
  draft: ConsensusDraft,
  peer: Member,
  now: TurnTime,
): void {
  const {index} = draft.read('snapshot')!;
  sendChunk(draft, peer, {index, offset: 0}, now);
}

/** Resends the chunk that has not been acknowledged. */
export function resendChunk(
  draft: ConsensusDraft,
  peer: Member,
  progress: FollowerProgress,
  now: TurnTime,
): void {
  sendChunk(draft, peer, progress.transfer!, now);
}

/**
 * Sends a chunk of the latest snapshot. The transfer starts again at the first
 * item if the snapshot has changed.
 */
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

/** Sends the chunk after the items that the follower has received. */
export function handleChunkReply(
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
  const isDuplicate = reply.received === transfer.offset;
  if (!isDuplicate) {
    sendChunk(draft, peer, {...transfer, offset: reply.received}, now);
  }
}
