import type {
  ConsensusMessage,
  RememberedPosition,
} from '@gentianshunt/messages';

import type {ConsensusDraft} from './consensusDraft.js';
import type {Sender} from './messageTypes.js';

/**
 * Remembers the latest term and log position that a message proves to be on
 * the sender's disk. If that member restarts with an older copy of its folder,
 * it learns the position from the reply to its hello and halts.
 */
export function recordPosition(
  draft: ConsensusDraft,
  from: Sender,
  message: ConsensusMessage,
): void {
  const seen = readSenderPosition(message);
  if (seen === undefined) {
    return;
  }
  const known = draft.rememberedPositions.get(from.node);
  const isLater =
    known === undefined ||
    known.storage !== from.storage ||
    seen.term > known.term ||
    (seen.term === known.term && seen.index > known.index);
  if (isLater) {
    draft.rememberedPositions.put(from.node, {...seen, storage: from.storage});
  }
}

function readSenderPosition(
  message: ConsensusMessage,
): RememberedPosition | undefined {
  switch (message.kind) {
    case 'appendRequest':
      return {term: message.term, index: message.syncedIndex};
    case 'appendReply':
      return {
        term: message.term,
        index: message.success ? message.matchIndex : 0,
      };
    case 'voteRequest':
    case 'voteReply':
      return message.preVote ? undefined : {term: message.term, index: 0};
    case 'snapshotChunk':
    case 'snapshotChunkReply':
      return {term: message.term, index: 0};
    default:
      return undefined;
  }
}
