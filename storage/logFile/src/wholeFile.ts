import {CorruptLogError} from './logFileErrors.js';
import {decodeRecords, encodeRecords} from './record.js';
import type {StoredRecord} from './record.js';
import type {StorageFile, StorageFolder} from './storageFolder.js';

/** Suffix of a file that is not yet in its place. */
export const UNFINISHED_SUFFIX = '.new';

/** Appends all bytes, however few the file takes at a time. */
export async function appendAll(
  file: StorageFile,
  bytes: Buffer,
): Promise<void> {
  let offset = 0;
  while (offset < bytes.length) {
    offset += await file.append(bytes.subarray(offset));
  }
}

/** Replaces a file: write, sync, rename, sync the folder. */
export async function writeWholeFile(
  folder: StorageFolder,
  name: string,
  records: readonly StoredRecord[],
): Promise<void> {
  const unfinished = `${name}${UNFINISHED_SUFFIX}`;
  const file = await folder.openFile(unfinished);
  try {
    await file.truncate(0);
    await appendAll(file, encodeRecords(records));
    await file.sync();
  } finally {
    await file.close();
  }
  await folder.rename(unfinished, name);
  await folder.sync();
}

/** Reads a file that was written whole; any damage is an error. */
export async function readWholeFile(
  folder: StorageFolder,
  name: string,
): Promise<readonly StoredRecord[]> {
  const bytes = await folder.read(name);
  const {records, length} = decodeRecords(bytes);
  const isWhole = records[records.length - 1]?.kind === 'end';
  if (length < bytes.length || !isWhole) {
    throw new CorruptLogError(`${folder.path}/${name}`, length);
  }
  return records;
}
