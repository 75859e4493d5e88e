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
import {readWholeFile, UNFINISHED_SUFFIX, writeWholeFile} from './wholeFile.js';

export const LOG_FILE_NAME = 'control.log';
export const SNAPSHOT_FILE_NAME = 'snapshot';
export const STORAGE_FILE_NAME = 'storage';

/** The replicated log as it was stored. */
export interface StoredLog {
  readonly ballot: Ballot;
  /** The latest snapshot, if there is one. */
  readonly snapshot: StateSnapshot | null;
  /** The position just before the first entry. */
  readonly base: LogPosition;
  readonly entries: readonly LogEntry[];
}

/** What a data folder held when it was opened. */
export interface OpenedFolder {
  readonly storage: StorageId;
  readonly stored: StoredLog;
}

/** Reads a data folder, cutting a torn tail; an empty one gets an id. */
export async function readFolder(
  folder: StorageFolder,
  drawStorageId: () => StorageId,
): Promise<OpenedFolder> {
  const names = await listFinished(folder);
  const hasLog = names.has(LOG_FILE_NAME);
  if (
    !hasLog &&
    (names.has(STORAGE_FILE_NAME) || names.has(SNAPSHOT_FILE_NAME))
  ) {
    throw new IncompleteFolderError(folder.path, 'the log is missing');
  }
  if (!hasLog) {
    await writeWholeFile(folder, LOG_FILE_NAME, []);
  }
  const snapshot = names.has(SNAPSHOT_FILE_NAME)
    ? await readSnapshot(folder)
    : null;
  const log = await readLog(folder);
  const stored = joinSnapshot(folder, snapshot, log);
  if (stored.entries !== log.entries) {
    await writeWholeFile(folder, LOG_FILE_NAME, listLogRecords(stored));
  }
  if (names.has(STORAGE_FILE_NAME)) {
    return {storage: await readStorageId(folder), stored};
  }
  if (snapshot !== null || stored.ballot.term > 0) {
    throw new IncompleteFolderError(folder.path, 'the storage id is missing');
  }
  const storage = drawStorageId();
  await writeWholeFile(folder, STORAGE_FILE_NAME, [
    {kind: 'storage', id: storage},
  ]);
  return {storage, stored};
}

/** Lists the records of a log that begins at a base. */
export function listLogRecords(
  log: Pick<StoredLog, 'ballot' | 'base' | 'entries'>,
): readonly StoredRecord[] {
  return [
    {kind: 'base', base: log.base},
    {kind: 'ballot', ballot: log.ballot},
    ...log.entries.map(entry => ({kind: 'entry', entry}) as const),
  ];
}

/** Lists the files in their places and removes the others. */
async function listFinished(
  folder: StorageFolder,
): Promise<ReadonlySet<string>> {
  const names = await folder.list();
  for (const name of names) {
    if (name.endsWith(UNFINISHED_SUFFIX)) {
      await folder.remove(name);
    }
  }
  return new Set(names.filter(name => !name.endsWith(UNFINISHED_SUFFIX)));
}

async function readStorageId(folder: StorageFolder): Promise<StorageId> {
  const [first] = await readWholeFile(folder, STORAGE_FILE_NAME);
  if (first?.kind !== 'storage') {
    throw new CorruptLogError(`${folder.path}/${STORAGE_FILE_NAME}`, 0);
  }
  return first.id;
}

async function readSnapshot(folder: StorageFolder): Promise<StateSnapshot> {
  const [first, ...rest] = await readWholeFile(folder, SNAPSHOT_FILE_NAME);
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
  // A write that was cut short leaves nothing whole behind it.
  if (hasRecordAfter(bytes, length)) {
    throw new CorruptLogError(path, length);
  }
  if (length < bytes.length) {
    const file = await folder.openFile(LOG_FILE_NAME);
    await file.truncate(length);
    await file.sync();
    await file.close();
  }
  return replayRecords(records, path);
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

/** Fits the log to the snapshot, which is stored before it is shortened. */
function joinSnapshot(
  folder: StorageFolder,
  snapshot: StateSnapshot | null,
  log: LogContent,
): StoredLog {
  const {base, entries} = log;
  const reached = snapshot?.index ?? 0;
  const isDense = entries.every(
    (entry, offset) => entry.index === base.index + 1 + offset,
  );
  if (base.index > reached || !isDense) {
    throw new IncompleteFolderError(folder.path, 'log entries are missing');
  }
  if (snapshot === null) {
    return {...log, snapshot};
  }
  const at = reached - base.index;
  const term = at === 0 ? base.term : entries[at - 1]?.term;
  return term === snapshot.term
    ? {...log, snapshot}
    : {
        ...log,
        snapshot,
        base: {index: snapshot.index, term: snapshot.term},
        entries: [],
      };
}
