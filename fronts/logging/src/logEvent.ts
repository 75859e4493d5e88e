import type {EntryOrder} from '@gentianshunt/entryModel';
import {assertNever, SchedulerError} from '@gentianshunt/errors';

/** What the daemons log; none of it holds bodies or keys. */
export type LogEvent =
  | {readonly kind: 'daemonReady'; readonly node: string}
  | {readonly kind: 'peerLinkFailed'; readonly error: Error}
  | {readonly kind: 'diskFailed'; readonly error: Error}
  | {readonly kind: 'folderDiscarded'; readonly error: Error}
  | {
      readonly kind: 'settingsRead';
      readonly file: string;
      readonly isChanged: boolean;
      /** Whether a signal asked for it. */
      readonly isAsked: boolean;
    }
  | {readonly kind: 'settingsRefused'; readonly error: Error}
  | {
      readonly kind: 'requestEnded';
      readonly end: Extract<EntryOrder, {readonly kind: 'recordEnd'}>;
    }
  | {
      readonly kind: 'roleChanged';
      readonly role: string;
      readonly term: number;
    };

/** One field of a log line. */
export interface LogField {
  readonly name: string;
  readonly value: string | number;
}

/** Lists the fields of an event, the event's name first. */
export function listFields(event: LogEvent): readonly LogField[] {
  const name = {name: 'event', value: event.kind};
  switch (event.kind) {
    case 'daemonReady':
      return [name, {name: 'node', value: event.node}];
    case 'peerLinkFailed':
    case 'diskFailed':
    case 'folderDiscarded':
      return [name, ...listErrorFields(event.error)];
    case 'settingsRefused':
      return [name, ...listErrorFields(event.error)];
    case 'settingsRead':
      return [
        name,
        {name: 'file', value: event.file},
        {name: 'changed', value: String(event.isChanged)},
        {name: 'asked', value: String(event.isAsked)},
      ];
    case 'requestEnded':
      return [name, ...listEndFields(event.end)];
    case 'roleChanged':
      return [
        name,
        {name: 'role', value: event.role},
        {name: 'term', value: event.term},
      ];
    default:
      return assertNever(event, 'listFields');
  }
}

function listErrorFields(error: Error): readonly LogField[] {
  if (!(error instanceof SchedulerError)) {
    return [{name: 'message', value: error.message}];
  }
  return [
    {name: 'code', value: error.code},
    {name: 'step', value: error.origin.step},
    {name: 'peer', value: error.origin.peer},
    {name: 'message', value: error.message},
  ];
}

function listEndFields(
  end: Extract<EntryOrder, {readonly kind: 'recordEnd'}>,
): readonly LogField[] {
  const {request, waitedMs, firstTokenMs} = end;
  return [
    {name: 'request', value: request.id},
    {name: 'organisation', value: request.organisation},
    {name: 'tier', value: request.tier},
    {name: 'set', value: request.set},
    {name: 'end', value: end.end.kind},
    ...(end.end.kind === 'refused'
      ? [{name: 'reason', value: end.end.refusal.reason.kind}]
      : []),
    {name: 'totalMs', value: Math.round(waitedMs)},
    ...(firstTokenMs === null
      ? []
      : [{name: 'firstTokenMs', value: Math.round(firstTokenMs)}]),
  ];
}

/** Formats fields as `name=value`, quoting values that hold spaces. */
export function formatFields(fields: readonly LogField[]): string {
  return fields
    .map(({name, value}) => `${name}=${formatFieldValue(value)}`)
    .join(' ');
}

function formatFieldValue(value: string | number): string {
  const text = String(value);
  return /[\s="]/.test(text) ? JSON.stringify(text) : text;
}
