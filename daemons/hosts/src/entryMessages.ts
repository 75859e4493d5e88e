import {decodeEntryMessage, isEntryMessage} from '@gentianshunt/entryWire';
import {readMessageKind} from '@gentianshunt/peerLinks';
import type {EntryObservation} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';
import type {ControlToEntry} from '@gentianshunt/messages';

const CONTROL_KINDS: ReadonlySet<string> = new Set<ControlToEntry['kind']>([
  'configurationUpdate',
  'notLeader',
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
 * Turns a peer's message into an observation; unknown ones are dropped. A
 * malformed message between entries makes it throw, which ends the link.
 */
export function toEntryObservation(
  from: NodeId,
  body: unknown,
): EntryObservation | undefined {
  if (isEntryMessage(body)) {
    const message = decodeEntryMessage(body, from);
    return {kind: 'entryMessage', from, message};
  }
  if (CONTROL_KINDS.has(readMessageKind(body))) {
    return {kind: 'controlMessage', from, message: body as ControlToEntry};
  }
  return undefined;
}
