import type {ConsensusMessage, Witness} from '@gentianshunt/messages';

import type {ConsensusDraft} from './consensusDraft.js';
import type {Sender} from './messageTypes.js';

/** Notes what a message shows to be on the sender's disk. */
export function noteWitness(
  draft: ConsensusDraft,
  from: Sender,
  message: ConsensusMessage,
): void {
  const seen = readWitness(message);
  if (seen === undefined) {
    return;
  }
  const known = draft.witnesses.get(from.node);
  const isLater =
    known === undefined ||
    known.storage !== from.storage ||
    seen.term > known.term ||
    (seen.term === known.term && seen.index > known.index);
  if (isLater) {
    draft.witnesses.put(from.node, {...seen, storage: from.storage});
  }
}

function readWitness(message: ConsensusMessage): Witness | undefined {
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
