import {readMessageKind} from '@gentianshunt/peerLinks';
import type {ControlObservation} from '@gentianshunt/controlModel';
import type {NodeId} from '@gentianshunt/identifiers';
import type {ConsensusMessage, EntryToControl} from '@gentianshunt/messages';

const CONSENSUS_KINDS: ReadonlySet<string> = new Set<ConsensusMessage['kind']>([
  'voteRequest',
  'voteReply',
  'appendRequest',
  'appendReply',
]);

const ENTRY_KINDS: ReadonlySet<string> = new Set<EntryToControl['kind']>([
  'entryHeartbeat',
  'versionConfirmed',
  'orderOffer',
  'orderReport',
  'countReportRequest',
  'controlQueryRequest',
  'commandRequest',
  'commandStatusRequest',
  'claimRequest',
  'settleRequest',
]);

/** Turns a peer's message into an observation; unknown ones are dropped. */
export function toObservation(
  from: NodeId,
  body: unknown,
): ControlObservation | undefined {
  const kind = readMessageKind(body);
  if (CONSENSUS_KINDS.has(kind)) {
    return {kind: 'consensusMessage', from, message: body as ConsensusMessage};
  }
  if (ENTRY_KINDS.has(kind)) {
    return {kind: 'entryMessage', from, message: body as EntryToControl};
  }
  return undefined;
}
