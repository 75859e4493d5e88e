import {decodeEntryMessage, isEntryMessage} from '@gentianshunt/entryWire';
import {readMessageKind} from '@gentianshunt/peerLinks';
import type {EntryObservation} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';
import type {ControlToEntry} from '@gentianshunt/messages';

const CONTROL_MESSAGE_KINDS: ReadonlySet<string> = new Set<
  ControlToEntry['kind']
>([
  'configurationUpdate',
  'notLeader',
  'leaderUnconfirmed',
  'commandReply',
  'replacementReply',
  'membersUpdate',
  'commandStatusReply',
  'countReportReply',
  'controlQueryReply',
  'claimReply',
  'settleReply',
]);

/**
 * Converts a peer's message into an observation; returns `undefined` for an
 * unknown message. Throws on a malformed message from another entry, which
 * closes the link.
 */
export function toEntryObservation(
  from: NodeId,
  body: unknown,
): EntryObservation | undefined {
  if (isEntryMessage(body)) {
    const message = decodeEntryMessage(body, from);
    return {kind: 'entryMessage', from, message};
  }
  if (CONTROL_MESSAGE_KINDS.has(readMessageKind(body))) {
    return {kind: 'controlMessage', from, message: body as ControlToEntry};
  }
  return undefined;
}
