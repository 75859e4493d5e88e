import {readMessageKind} from '@gentianshunt/peerLinks';
import type {EntryMessage, EntryObservation} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';
import type {ControlToEntry} from '@gentianshunt/messages';

const ENTRY_KINDS: ReadonlySet<string> = new Set<EntryMessage['kind']>([
  'demandReport',
  'grantReply',
  'notSetLeader',
  'endpointAnnounced',
]);

const CONTROL_KINDS: ReadonlySet<string> = new Set<ControlToEntry['kind']>([
  'configurationUpdate',
  'notLeader',
  'commandReply',
  'commandStatusReply',
  'countReportReply',
  'controlQueryReply',
  'claimReply',
  'settleReply',
]);

/** Turns a peer's message into an observation; unknown ones are dropped. */
export function toObservation(
  from: NodeId,
  body: unknown,
): EntryObservation | undefined {
  const kind = readMessageKind(body);
  if (ENTRY_KINDS.has(kind)) {
    return {kind: 'entryMessage', from, message: body as EntryMessage};
  }
  if (CONTROL_KINDS.has(kind)) {
    return {kind: 'controlMessage', from, message: body as ControlToEntry};
  }
  return undefined;
}
