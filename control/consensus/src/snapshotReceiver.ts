import type {TurnTime} from '@gentianshunt/board';
import type {IncomingSnapshot} from '@gentianshunt/controlModel';

import {followLeader} from './appending.js';
import type {ConsensusDraft} from './consensusDraft.js';
import type {Sender, SnapshotChunk} from './messageTypes.js';

/** Takes a chunk of the leader's snapshot. */
export function handleSnapshotChunk(
  draft: ConsensusDraft,
  from: Sender,
  chunk: SnapshotChunk,
  now: TurnTime,
): void {
  if (!followLeader(draft, from, chunk, now)) {
    return;
  }
  if (chunk.header.index <= draft.status.commitIndex) {
    acknowledge(draft, from, chunk);
    return;
  }
  const incoming = addChunk(draft.read('incoming'), chunk);
  if (chunk.isLast && isComplete(incoming, chunk)) {
    install(draft, incoming);
    acknowledge(draft, from, chunk);
    return;
  }
  draft.set('incoming', incoming);
  draft.sendAfterSync(
    {node: from.node, storage: null},
    {
      kind: 'snapshotChunkReply',
      term: draft.ballot.term,
      index: chunk.header.index,
      received: incoming.items.length,
      sentAt: chunk.sentAt,
    },
  );
}

/** Adds a chunk that follows without a gap. */
function addChunk(
  incoming: IncomingSnapshot | null,
  chunk: SnapshotChunk,
): IncomingSnapshot {
  const {header, offset, items} = chunk;
  const received =
    incoming?.header.index === header.index ? incoming.items : [];
  return offset === received.length
    ? {header, items: [...received, ...items]}
    : {header, items: received};
}

function isComplete(incoming: IncomingSnapshot, chunk: SnapshotChunk): boolean {
  return incoming.items.length === chunk.offset + chunk.items.length;
}

/** Puts a snapshot in place of the log up to its index. */
function install(draft: ConsensusDraft, incoming: IncomingSnapshot): void {
  const {header, items} = incoming;
  const base = {index: header.index, term: header.term};
  draft.set('incoming', null);
  draft.set('snapshot', {...header, items});
  draft.set('memberships', [{index: header.index, members: header.members}]);
  draft.log.reset(base);
  draft.disk.compact();
}

/** Tells the leader that the log reaches the snapshot's index. */
function acknowledge(
  draft: ConsensusDraft,
  from: Sender,
  chunk: SnapshotChunk,
): void {
  draft.sendAfterSync(
    {node: from.node, storage: null},
    {
      kind: 'appendReply',
      term: draft.ballot.term,
      success: true,
      matchIndex: chunk.header.index,
      sentAt: chunk.sentAt,
    },
  );
}
