import type {TurnTime} from '@gentianshunt/board';
import type {
  FollowerProgress,
  SnapshotTransfer,
} from '@gentianshunt/controlModel';
import {measureValue} from '@gentianshunt/messages';
import type {Member, SnapshotItem} from '@gentianshunt/messages';

import type {ConsensusDraft} from './consensusDraft.js';
import type {SnapshotChunkReply} from './messageTypes.js';

/** Maximum number of snapshot items in one chunk. */
export const MAX_ITEMS_PER_CHUNK = 256;
/** Maximum size of one chunk that holds several items, in bytes. */
export const MAX_CHUNK_BYTES = 128 * 1_024;

/** Starts to send the latest snapshot to a follower that lacks old entries. */
export function startTransfer(
  draft: ConsensusDraft,
  peer: Member,
  now: TurnTime,
): void {
  const snapshot = draft.read('snapshot')!;
  sendChunk(draft, peer, {snapshot, offset: 0}, now);
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
 * Lists the items of the chunk that a transfer sends next. The transfer goes
 * on with its snapshot when a later one is captured: a slow follower would
 * otherwise start again with each capture.
 */
export function listChunkItems({
  snapshot,
  offset,
}: SnapshotTransfer): readonly SnapshotItem[] {
  const items = snapshot.items.slice(offset, offset + MAX_ITEMS_PER_CHUNK);
  let bytes = 0;
  const end = items.findIndex((item, position) => {
    bytes += measureValue(item);
    return position > 0 && bytes > MAX_CHUNK_BYTES;
  });
  return end < 0 ? items : items.slice(0, end);
}

/** Sends a chunk of the snapshot of a transfer. */
function sendChunk(
  draft: ConsensusDraft,
  peer: Member,
  transfer: SnapshotTransfer,
  now: TurnTime,
): void {
  const {snapshot, offset} = transfer;
  const {items: allItems, ...header} = snapshot;
  const items = listChunkItems(transfer);
  draft.progress.put(peer.node, {
    ...draft.progress.get(peer.node)!,
    inFlight: [],
    progressedAt: now.monotonic,
    transfer,
  });
  draft.send(
    {node: peer.node, storage: peer.storage},
    {
      kind: 'snapshotChunk',
      term: draft.ballot.term,
      header,
      offset,
      items,
      isLast: offset + items.length >= allItems.length,
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
  if (transfer === null || transfer.snapshot.index !== reply.index) {
    return;
  }
  const isDuplicate = reply.received === transfer.offset;
  if (!isDuplicate) {
    sendChunk(draft, peer, {...transfer, offset: reply.received}, now);
  }
}
