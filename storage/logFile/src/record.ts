import {decodeValue, encodeValue} from '@gentianshunt/frames';
import type {Ballot} from '@gentianshunt/controlModel';
import type {LogEntry, LogIndex} from '@gentianshunt/messages';
import crc32 from 'crc-32';

/** What one record of the log file carries. */
export type LogRecord =
  | {readonly kind: 'ballot'; readonly ballot: Ballot}
  | {readonly kind: 'truncate'; readonly from: LogIndex}
  | {readonly kind: 'entry'; readonly entry: LogEntry};

/** Bytes of length and checksum before each record. */
export const RECORD_HEADER_BYTES = 8;

/** Encodes a record with its length and checksum. */
export function encodeRecord(record: LogRecord): Buffer {
  const content = encodeValue(record);
  const bytes = Buffer.allocUnsafe(RECORD_HEADER_BYTES + content.length);
  bytes.writeUInt32BE(content.length, 0);
  bytes.writeInt32BE(crc32.buf(content), 4);
  content.copy(bytes, RECORD_HEADER_BYTES);
  return bytes;
}

/** A record read from a file, or why none could be read. */
export type DecodedRecord =
  | {
      readonly kind: 'record';
      readonly record: LogRecord;
      readonly nextOffset: number;
    }
  /** The file ends within the record. */
  | {readonly kind: 'torn'}
  | {readonly kind: 'corrupt'};

/** Decodes the record at an offset. */
export function decodeRecord(bytes: Buffer, offset: number): DecodedRecord {
  if (offset + RECORD_HEADER_BYTES > bytes.length) {
    return {kind: 'torn'};
  }
  const start = offset + RECORD_HEADER_BYTES;
  const end = start + bytes.readUInt32BE(offset);
  if (end > bytes.length) {
    return {kind: 'torn'};
  }
  const content = bytes.subarray(start, end);
  if (crc32.buf(content) !== bytes.readInt32BE(offset + 4)) {
    return {kind: 'corrupt'};
  }
  const record = decodeValue(content) as LogRecord;
  return {kind: 'record', record, nextOffset: end};
}
