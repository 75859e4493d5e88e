import {decodeValue, encodeValue} from '@gentianshunt/frames';
import type {Ballot} from '@gentianshunt/controlModel';
import type {
  LogEntry,
  LogIndex,
  LogPosition,
  SnapshotHeader,
  SnapshotItem,
  StorageId,
} from '@gentianshunt/messages';
import crc32 from 'crc-32';

/** The content of one record of a file in the data folder. */
export type StoredRecord =
  | {readonly kind: 'storage'; readonly id: StorageId}
  | {readonly kind: 'base'; readonly base: LogPosition}
  | {readonly kind: 'ballot'; readonly ballot: Ballot}
  | {readonly kind: 'truncate'; readonly from: LogIndex}
  | {readonly kind: 'entry'; readonly entry: LogEntry}
  | {readonly kind: 'snapshot'; readonly header: SnapshotHeader}
  | {readonly kind: 'item'; readonly item: SnapshotItem}
  /** Ends the records of one write, so that damage in them is detected. */
  | {readonly kind: 'end'};

/** Marks the start of each record. */
const RECORD_MAGIC = Buffer.from('gsr1', 'latin1');
const LENGTH_OFFSET = RECORD_MAGIC.length;
const CHECKSUM_OFFSET = LENGTH_OFFSET + 4;
/** Bytes of the marker, length and checksum before the content. */
export const RECORD_HEADER_BYTES = CHECKSUM_OFFSET + 4;

/** Size of the pieces in which the records of one write are encoded. */
export const PIECE_BYTES = 1_024 * 1_024;

/** Encodes a record with its header. */
export function encodeRecord(record: StoredRecord): Buffer {
  const content = encodeValue(record);
  const bytes = Buffer.allocUnsafe(RECORD_HEADER_BYTES + content.length);
  RECORD_MAGIC.copy(bytes);
  bytes.writeUInt32BE(content.length, LENGTH_OFFSET);
  content.copy(bytes, RECORD_HEADER_BYTES);
  bytes.writeInt32BE(computeChecksum(bytes), CHECKSUM_OFFSET);
  return bytes;
}

/**
 * Encodes the records of one write, followed by an `end` record, in pieces of
 * about `PIECE_BYTES`.
 */
export function* iteratePieces(
  records: Iterable<StoredRecord>,
): IterableIterator<Buffer> {
  let encoded: Buffer[] = [];
  let bytes = 0;
  for (const record of records) {
    const next = encodeRecord(record);
    encoded.push(next);
    bytes += next.length;
    if (bytes >= PIECE_BYTES) {
      yield Buffer.concat(encoded);
      encoded = [];
      bytes = 0;
    }
  }
  yield Buffer.concat([...encoded, encodeRecord({kind: 'end'})]);
}

/** Computes the checksum of the length and the content of a record. */
function computeChecksum(record: Buffer): number {
  const length = record.subarray(LENGTH_OFFSET, CHECKSUM_OFFSET);
  return crc32.buf(record.subarray(RECORD_HEADER_BYTES), crc32.buf(length));
}

/** The records of a file before the first one that is damaged. */
export interface DecodedRecords {
  readonly records: readonly StoredRecord[];
  /** Bytes that these records occupy. */
  readonly length: number;
}

/** Decodes records up to the first one that is truncated or damaged. */
export function decodeRecords(bytes: Buffer): DecodedRecords {
  const records: StoredRecord[] = [];
  let offset = 0;
  for (;;) {
    const end = findRecordEnd(bytes, offset);
    if (end === undefined) {
      return {records, length: offset};
    }
    const content = bytes.subarray(offset + RECORD_HEADER_BYTES, end);
    records.push(decodeValue(content) as StoredRecord);
    offset = end;
  }
}

/** Returns whether an intact record starts at or after an offset. */
export function hasRecordAfter(bytes: Buffer, offset: number): boolean {
  let start = bytes.indexOf(RECORD_MAGIC, offset);
  while (start >= 0) {
    if (findRecordEnd(bytes, start) !== undefined) {
      return true;
    }
    start = bytes.indexOf(RECORD_MAGIC, start + 1);
  }
  return false;
}

/** Finds the end of the record at an offset, if the record is intact. */
function findRecordEnd(bytes: Buffer, offset: number): number | undefined {
  const start = offset + RECORD_HEADER_BYTES;
  if (start > bytes.length) {
    return undefined;
  }
  const magic = bytes.subarray(offset, offset + LENGTH_OFFSET);
  const end = start + bytes.readUInt32BE(offset + LENGTH_OFFSET);
  if (end > bytes.length || !magic.equals(RECORD_MAGIC)) {
    return undefined;
  }
  const checksum = bytes.readInt32BE(offset + CHECKSUM_OFFSET);
  const isIntact = computeChecksum(bytes.subarray(offset, end)) === checksum;
  return isIntact ? end : undefined;
}
