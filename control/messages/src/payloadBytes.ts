// The bytes that a log entry or an item of a snapshot takes, as an estimate of
// its encoded size. The bounds of the log are in these bytes.

import {assertNever} from '@gentianshunt/errors';

import type {LogEntry, LogPayload} from './logEntry.js';
import type {SnapshotItem} from './snapshot.js';

/** Bytes of a number, a flag, or the header of any other value. */
const VALUE_BYTES = 8;
/** Average bytes of the name of a field. */
const FIELD_NAME_BYTES = 8;
/** Bytes of a log entry without what its payload carries. */
const LOG_ENTRY_BYTES = 64;

/** Estimates the encoded size of plain data, in bytes. */
export function measureValue(value: unknown): number {
  if (typeof value === 'string') {
    return VALUE_BYTES + value.length;
  }
  if (typeof value !== 'object' || value === null) {
    return VALUE_BYTES;
  }
  if (value instanceof Uint8Array) {
    return VALUE_BYTES + value.byteLength;
  }
  return Array.isArray(value) ? measureArray(value) : measureRecord(value);
}

function measureArray(values: readonly unknown[]): number {
  let bytes = VALUE_BYTES;
  for (const value of values) {
    bytes += measureValue(value);
  }
  return bytes;
}

function measureRecord(record: object): number {
  let bytes = VALUE_BYTES;
  for (const value of Object.values(record)) {
    bytes += FIELD_NAME_BYTES + measureValue(value);
  }
  return bytes;
}

/** Estimates the encoded size of a log entry, in bytes. */
export function measureLogEntry({payload}: LogEntry): number {
  return LOG_ENTRY_BYTES + measurePayload(payload);
}

/** Estimates the encoded size of what a payload carries, in bytes. */
export function measurePayload(payload: LogPayload): number {
  switch (payload.kind) {
    case 'noop':
    case 'expireClaims':
      return 0;
    case 'membership':
      return measureValue(payload.members);
    case 'command':
      return measureValue(payload.command) + measureValue(payload.setsInUse);
    case 'replaceConfiguration':
      return measureValue(payload.replacement);
    case 'claim':
      return measureValue(payload.key) + measureValue(payload.digest);
    case 'settleClaim':
      return measureValue(payload.key) + measureValue(payload.outcome);
    case 'endOrder':
      return measureValue(payload.result);
    case 'countReport':
      return measureValue(payload.report);
    case 'assignSetLeader':
    case 'loseClaims':
    case 'issueOrder':
      return measureValue(payload);
    default:
      return assertNever(payload, 'measurePayload');
  }
}

/** Estimates the encoded size of items of a snapshot, in bytes. */
export function measureItems(items: readonly SnapshotItem[]): number {
  return measureArray(items);
}
