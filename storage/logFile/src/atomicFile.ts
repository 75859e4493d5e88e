import {CorruptLogError} from './logFileErrors.js';
import {decodeRecords, iteratePieces} from './record.js';
import type {StoredRecord} from './record.js';
import type {StorageFile, StorageFolder} from './storageFolder.js';

/** Suffix of a file that is being written and not yet renamed. */
export const TEMPORARY_SUFFIX = '.new';

/** Appends the records of one write, a piece at a time. */
export async function appendRecords(
  file: StorageFile,
  records: Iterable<StoredRecord>,
): Promise<void> {
  for (const piece of iteratePieces(records)) {
    await appendAll(file, piece);
  }
}

/** Appends all bytes, repeating the append after short writes. */
export async function appendAll(
  file: StorageFile,
  bytes: Buffer,
): Promise<void> {
  let offset = 0;
  while (offset < bytes.length) {
    offset += await file.append(bytes.subarray(offset));
  }
}

/** Replaces a file atomically: write, sync, rename, sync the folder. */
export async function replaceFile(
  folder: StorageFolder,
  name: string,
  appendContent: (file: StorageFile) => Promise<void>,
): Promise<void> {
  const temporaryName = `${name}${TEMPORARY_SUFFIX}`;
  const file = await folder.openFile(temporaryName);
  try {
    await file.truncate(0);
    await appendContent(file);
    await file.sync();
  } finally {
    await file.close();
  }
  await folder.rename(temporaryName, name);
  await folder.sync();
}

/** Replaces a file of records atomically. */
export async function writeFileAtomically(
  folder: StorageFolder,
  name: string,
  records: Iterable<StoredRecord>,
): Promise<void> {
  await replaceFile(folder, name, file => appendRecords(file, records));
}

/** Reads a file that was written atomically; throws if it is damaged. */
export async function readCompleteFile(
  folder: StorageFolder,
  name: string,
): Promise<readonly StoredRecord[]> {
  const bytes = await folder.read(name);
  const {records, length} = decodeRecords(bytes);
  const isComplete = records[records.length - 1]?.kind === 'end';
  if (length < bytes.length || !isComplete) {
    throw new CorruptLogError(`${folder.path}/${name}`, length);
  }
  return records;
}
