import {assertNever} from '@gentianshunt/errors';
import type {ConsensusMessage} from '@gentianshunt/messages';
import {readMessageKind} from '@gentianshunt/peerLinks';

import type {ConsensusEnvelope} from './controlMessages.js';

/** Key of the messages that carry the control log or its snapshot. */
const LOG_KEY = 'log';

/**
 * Reads the ordering key of a message between daemons: messages with the same
 * key arrive in order, and short ones overtake large ones with another key.
 * Heartbeats, votes and replies of the control log do not follow its entries.
 * Messages between entries keep their order.
 */
export function readOrderingKey(body: unknown): string {
  const kind = readMessageKind(body);
  return kind === 'consensus'
    ? readConsensusKey((body as ConsensusEnvelope).message)
    : kind;
}

function readConsensusKey(message: ConsensusMessage): string {
  switch (message.kind) {
    case 'appendRequest':
      return message.entries.length > 0 ? LOG_KEY : message.kind;
    case 'snapshotChunk':
      return LOG_KEY;
    case 'memberHello':
    case 'memberHelloReply':
    case 'voteRequest':
    case 'voteReply':
    case 'appendReply':
    case 'snapshotChunkReply':
      return message.kind;
    default:
      return assertNever(message, 'readConsensusKey');
  }
}
