import type {TurnTime} from '@gentianshunt/board';
import type {IncomingSnapshot} from '@gentianshunt/controlModel';

import {followLeader} from './appendReceiver.js';
import type {ConsensusDraft} from './consensusDraft.js';
import type {Sender, SnapshotChunk} from './messageTypes.js';

/** Stores a chunk of the leader's snapshot; the last one installs it. */
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
    acknowledgeSnapshot(draft, from, chunk);
    return;
  }
  const incoming = appendChunk(draft.read('incomingSnapshot'), chunk);
  if (chunk.isLast && isComplete(incoming, chunk)) {
    installSnapshot(draft, incoming);
    acknowledgeSnapshot(draft, from, chunk);
    return;
  }
  draft.set('incomingSnapshot', incoming);
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

/** Appends a chunk if it follows the received items without a gap. */
function appendChunk(
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

/** Replaces the log and the stored state by a snapshot. */
function installSnapshot(
  draft: ConsensusDraft,
  incoming: IncomingSnapshot,
): void {
  const {header, items} = incoming;
  const base = {index: header.index, term: header.term};
  draft.set('incomingSnapshot', null);
  draft.setSnapshot({...header, items});
  draft.set('memberships', [{index: header.index, members: header.members}]);
  draft.log.reset(base);
  draft.disk.compact();
}

/** Acknowledges the log up to the snapshot's index. */
function acknowledgeSnapshot(
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
