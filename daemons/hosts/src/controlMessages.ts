import {readMessageKind} from '@gentianshunt/peerLinks';
import type {ControlObservation} from '@gentianshunt/controlModel';
import type {NodeId} from '@gentianshunt/identifiers';
import type {
  ConsensusMessage,
  EntryToControl,
  StorageId,
} from '@gentianshunt/messages';

/** A message of the log with the data folders it goes between. */
export interface ConsensusEnvelope {
  readonly kind: 'consensus';
  readonly sender: StorageId;
  /** The only folder that may take the message; `null` lets any. */
  readonly receiver: StorageId | null;
  readonly message: ConsensusMessage;
}

const ENTRY_KINDS: ReadonlySet<string> = new Set<EntryToControl['kind']>([
  'entryHeartbeat',
  'versionConfirmed',
  'orderOffer',
  'orderReport',
  'countReportRequest',
  'controlQueryRequest',
  'commandRequest',
  'replacementRequest',
  'commandStatusRequest',
  'claimRequest',
  'settleRequest',
]);

/** Turns a peer's message into an observation; unknown ones are dropped. */
export function toControlObservation(
  from: NodeId,
  body: unknown,
  self: StorageId,
): ControlObservation | undefined {
  const kind = readMessageKind(body);
  if (kind === 'consensus') {
    const {sender, receiver, message} = body as ConsensusEnvelope;
    return receiver === null || receiver === self
      ? {kind: 'consensusMessage', from, storage: sender, message}
      : undefined;
  }
  if (ENTRY_KINDS.has(kind)) {
    return {kind: 'entryMessage', from, message: body as EntryToControl};
  }
  return undefined;
}
