import type {Ballot} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import type {
  LogEntry,
  LogPosition,
  SnapshotItem,
  StateSnapshot,
  StorageId,
} from '@gentianshunt/messages';

import {CorruptLogError, IncompleteFolderError} from './logFileErrors.js';
import {decodeRecords, hasRecordAfter} from './record.js';
import type {StoredRecord} from './record.js';
import type {StorageFolder} from './storageFolder.js';
import {
  readCompleteFile,
  TEMPORARY_SUFFIX,
  writeFileAtomically,
} from './atomicFile.js';

export const LOG_FILE_NAME = 'control.log';
export const SNAPSHOT_FILE_NAME = 'snapshot';
export const STORAGE_FILE_NAME = 'storage';

/** The replicated log as stored in a data folder. */
export interface StoredLog {
  readonly ballot: Ballot;
  /** The latest snapshot, if there is one. */
  readonly snapshot: StateSnapshot | null;
  /** The position just before the first entry. */
  readonly base: LogPosition;
  readonly entries: readonly LogEntry[];
}

/** The content of a data folder when it was opened. */
export interface OpenedFolder {
  readonly storage: StorageId;
  readonly stored: StoredLog;
}

/**
 * Reads a data folder. Truncates a log that ends in an incomplete write, and
 * gives an empty folder a storage id.
 */
export async function readFolder(
  folder: StorageFolder,
  drawStorageId: () => StorageId,
): Promise<OpenedFolder> {
  const names = await removeTemporaryFiles(folder);
  const hasLog = names.has(LOG_FILE_NAME);
  if (
    !hasLog &&
    (names.has(STORAGE_FILE_NAME) || names.has(SNAPSHOT_FILE_NAME))
  ) {
    throw new IncompleteFolderError(folder.path, 'the log is missing');
  }
  if (!hasLog) {
    await writeFileAtomically(folder, LOG_FILE_NAME, []);
  }
  const snapshot = names.has(SNAPSHOT_FILE_NAME)
    ? await readSnapshot(folder)
    : null;
  const log = await readLog(folder);
  const stored = mergeSnapshot(folder, snapshot, log);
  if (stored.entries !== log.entries) {
    await writeFileAtomically(folder, LOG_FILE_NAME, listLogRecords(stored));
  }
  if (names.has(STORAGE_FILE_NAME)) {
    return {storage: await readStorageId(folder), stored};
  }
  if (snapshot !== null || stored.ballot.term > 0) {
    throw new IncompleteFolderError(folder.path, 'the storage id is missing');
  }
  const storage = drawStorageId();
  await writeFileAtomically(folder, STORAGE_FILE_NAME, [
    {kind: 'storage', id: storage},
  ]);
  return {storage, stored};
}

/** Lists the records that store a log which begins at a base position. */
export function listLogRecords(
  log: Pick<StoredLog, 'ballot' | 'base' | 'entries'>,
): readonly StoredRecord[] {
  return [
    {kind: 'base', base: log.base},
    {kind: 'ballot', ballot: log.ballot},
    ...log.entries.map(entry => ({kind: 'entry', entry}) as const),
  ];
}

/** Removes unfinished files and returns the names of the others. */
async function removeTemporaryFiles(
  folder: StorageFolder,
): Promise<ReadonlySet<string>> {
  const names = await folder.list();
  for (const name of names) {
    if (name.endsWith(TEMPORARY_SUFFIX)) {
      await folder.remove(name);
    }
  }
  return new Set(names.filter(name => !name.endsWith(TEMPORARY_SUFFIX)));
}

async function readStorageId(folder: StorageFolder): Promise<StorageId> {
  const [first] = await readCompleteFile(folder, STORAGE_FILE_NAME);
  if (first?.kind !== 'storage') {
    throw new CorruptLogError(`${folder.path}/${STORAGE_FILE_NAME}`, 0);
  }
  return first.id;
}

async function readSnapshot(folder: StorageFolder): Promise<StateSnapshot> {
  const [first, ...rest] = await readCompleteFile(folder, SNAPSHOT_FILE_NAME);
  if (first?.kind !== 'snapshot') {
    throw new CorruptLogError(`${folder.path}/${SNAPSHOT_FILE_NAME}`, 0);
  }
  const items = rest.flatMap((record): readonly SnapshotItem[] =>
    record.kind === 'item' ? [record.item] : [],
  );
  return {...first.header, items};
}

type LogContent = Omit<StoredLog, 'snapshot'>;

async function readLog(folder: StorageFolder): Promise<LogContent> {
  const path = `${folder.path}/${LOG_FILE_NAME}`;
  const bytes = await folder.read(LOG_FILE_NAME);
  const {records, length} = decodeRecords(bytes);
  // An incomplete write is the last one, so no intact record follows it. An
  // intact record after a damaged one means that synced data was damaged.
  if (hasRecordAfter(bytes, length)) {
    throw new CorruptLogError(path, length);
  }
  await syncLog(folder, length < bytes.length ? length : null);
  return replayRecords(records, path);
}

/**
 * Syncs the log, after truncating it to a length in bytes. What a killed process
 * wrote may not be synced yet, and counts as stored from now on.
 */
async function syncLog(
  folder: StorageFolder,
  length: number | null,
): Promise<void> {
  const file = await folder.openFile(LOG_FILE_NAME);
  try {
    if (length !== null) {
      await file.truncate(length);
    }
    await file.sync();
  } finally {
    await file.close();
  }
}

function replayRecords(
  records: readonly StoredRecord[],
  path: string,
): LogContent {
  let ballot: Ballot = {term: 0, votedFor: null};
  let base: LogPosition = {index: 0, term: 0};
  const entries: LogEntry[] = [];
  for (const record of records) {
    switch (record.kind) {
      case 'base':
        base = record.base;
        break;
      case 'ballot':
        ballot = record.ballot;
        break;
      case 'truncate':
        entries.length = Math.max(0, record.from - base.index - 1);
        break;
      case 'entry':
        entries.push(record.entry);
        break;
      case 'end':
        break;
      case 'storage':
      case 'snapshot':
      case 'item':
        throw new CorruptLogError(path, 0);
      default:
        assertNever(record, 'replayRecords');
    }
  }
  return {ballot, base, entries};
}

/**
 * Combines the snapshot and the log. Compaction stores the snapshot before it
 * shortens the log, so the log may still hold entries that the snapshot covers.
 * A log that does not contain the position of the snapshot is discarded.
 */
function mergeSnapshot(
  folder: StorageFolder,
  snapshot: StateSnapshot | null,
  log: LogContent,
): StoredLog {
  const {base, entries} = log;
  const snapshotIndex = snapshot?.index ?? 0;
  const isContiguous = entries.every(
    (entry, offset) => entry.index === base.index + 1 + offset,
  );
  if (base.index > snapshotIndex || !isContiguous) {
    throw new IncompleteFolderError(folder.path, 'log entries are missing');
  }
  if (snapshot === null) {
    return {...log, snapshot};
  }
  const entryCount = snapshotIndex - base.index;
  const term = entryCount === 0 ? base.term : entries[entryCount - 1]?.term;
  return term === snapshot.term
    ? {...log, snapshot}
    : {
        ...log,
        snapshot,
        base: {index: snapshot.index, term: snapshot.term},
        entries: [],
      };
}
