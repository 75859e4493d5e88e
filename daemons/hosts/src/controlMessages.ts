import {readMessageKind} from '@gentianshunt/peerLinks';
import type {ControlObservation} from '@gentianshunt/controlModel';
import type {NodeId} from '@gentianshunt/identifiers';
import type {
  ConsensusMessage,
  EntryToControl,
  StorageId,
} from '@gentianshunt/messages';

/** A consensus message with the storage ids of its sender and receiver. */
export interface ConsensusEnvelope {
  readonly kind: 'consensus';
  readonly sender: StorageId;
  /** The data folder that must receive the message; `null` accepts any. */
  readonly receiver: StorageId | null;
  readonly message: ConsensusMessage;
}

const ENTRY_MESSAGE_KINDS: ReadonlySet<string> = new Set<
  EntryToControl['kind']
>([
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

/**
 * Converts a peer's message into an observation. Returns `undefined` for an
 * unknown message and for one meant for another data folder.
 */
export function toControlObservation(
  from: NodeId,
  body: unknown,
  ownStorage: StorageId,
): ControlObservation | undefined {
  const kind = readMessageKind(body);
  if (kind === 'consensus') {
    const {sender, receiver, message} = body as ConsensusEnvelope;
    return receiver === null || receiver === ownStorage
      ? {kind: 'consensusMessage', from, storage: sender, message}
      : undefined;
  }
  if (ENTRY_MESSAGE_KINDS.has(kind)) {
    return {kind: 'entryMessage', from, message: body as EntryToControl};
  }
  return undefined;
}
