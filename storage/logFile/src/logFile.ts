import type {PersistBatch} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import type {StorageId} from '@gentianshunt/messages';

import {LogWriteError} from './logFileErrors.js';
import {
  listLogRecords,
  LOG_FILE_NAME,
  readFolder,
  SNAPSHOT_FILE_NAME,
} from './readFolder.js';
import type {StoredLog} from './readFolder.js';
import type {StoredRecord} from './record.js';
import type {StorageFile, StorageFolder} from './storageFolder.js';
import {appendRecords, writeFileAtomically} from './atomicFile.js';

type AppendBatch = Extract<PersistBatch, {readonly kind: 'append'}>;
type CompactBatch = Extract<PersistBatch, {readonly kind: 'compact'}>;

/** The replicated log on disk. */
export interface LogFile {
  /** Identifies the data folder across restarts. */
  readonly storage: StorageId;
  /** The log as it was when the file was opened. */
  readonly stored: StoredLog;
  /** Queues a batch; batches queued during a write share the next sync. */
  persist(batch: PersistBatch): void;
  close(): Promise<void>;
}

/** Options of a log file. */
export interface LogFileOptions {
  readonly folder: StorageFolder;
  /** Draws the storage id of an empty folder. */
  readonly drawStorageId: () => StorageId;
  /** Called once a batch and all batches before it are synced. */
  readonly onPersisted: (sequence: number) => void;
  /** Called when a write or sync failed; nothing further is written. */
  readonly onFailed: (error: LogWriteError) => void;
}

/** Opens the log in a data folder, truncating an incomplete last write. */
export async function openLogFile(options: LogFileOptions): Promise<LogFile> {
  const {folder} = options;
  const {storage, stored} = await readFolder(folder, options.drawStorageId);
  const writer = createLogWriter(folder, await folder.openFile(LOG_FILE_NAME));
  const queue = createWriteQueue(writer, options);
  return {
    storage,
    stored,
    persist: queue.push,
    close: async () => {
      await queue.drain();
      await writer.close();
    },
  };
}

interface LogWriter {
  append(batches: readonly AppendBatch[]): Promise<void>;
  compact(batch: CompactBatch): Promise<void>;
  close(): Promise<void>;
}

function createLogWriter(
  folder: StorageFolder,
  opened: StorageFile,
): LogWriter {
  let file = opened;
  return {
    append: async batches => {
      const records = batches.flatMap(listAppendRecords);
      if (records.length > 0) {
        await appendRecords(file, records);
        await file.sync();
      }
    },
    compact: async batch => {
      await writeFileAtomically(
        folder,
        SNAPSHOT_FILE_NAME,
        listSnapshotRecords(batch),
      );
      await writeFileAtomically(folder, LOG_FILE_NAME, listLogRecords(batch));
      await file.close();
      file = await folder.openFile(LOG_FILE_NAME);
    },
    close: () => file.close(),
  };
}

interface WriteQueue {
  push(batch: PersistBatch): void;
  drain(): Promise<void>;
}

function createWriteQueue(
  writer: LogWriter,
  options: LogFileOptions,
): WriteQueue {
  let queued: PersistBatch[] = [];
  let currentWrite: Promise<void> | undefined;
  const writeQueued = async (): Promise<void> => {
    while (queued.length > 0) {
      const batches = queued;
      queued = [];
      await writeBatches(writer, batches);
      options.onPersisted(batches[batches.length - 1]!.sequence);
    }
    currentWrite = undefined;
  };
  const fail = (error: unknown): void => {
    const step = 'persist';
    options.onFailed(new LogWriteError(options.folder.path, step, error));
  };
  return {
    push: batch => {
      queued.push(batch);
      // `currentWrite` stays set after a failure, so nothing more is written.
      currentWrite ??= Promise.resolve().then(writeQueued).catch(fail);
    },
    drain: async () => {
      await currentWrite;
    },
  };
}

/**
 * Writes batches in order; consecutive appends share one sync. A compaction
 * contains everything that the batches before it contain.
 */
async function writeBatches(
  writer: LogWriter,
  batches: readonly PersistBatch[],
): Promise<void> {
  let compaction: CompactBatch | undefined = undefined;
  let appends: AppendBatch[] = [];
  for (const batch of batches) {
    switch (batch.kind) {
      case 'append':
        appends.push(batch);
        break;
      case 'compact':
        compaction = batch;
        appends = [];
        break;
      default:
        assertNever(batch, 'writeBatches');
    }
  }
  if (compaction !== undefined) {
    await writer.compact(compaction);
  }
  await writer.append(appends);
}

function listAppendRecords(batch: AppendBatch): readonly StoredRecord[] {
  const records: StoredRecord[] = [];
  if (batch.ballot !== null) {
    records.push({kind: 'ballot', ballot: batch.ballot});
  }
  if (batch.truncateFrom !== null) {
    records.push({kind: 'truncate', from: batch.truncateFrom});
  }
  batch.entries.forEach(entry => records.push({kind: 'entry', entry}));
  return records;
}

function listSnapshotRecords(batch: CompactBatch): readonly StoredRecord[] {
  const {items, ...header} = batch.snapshot;
  return [
    {kind: 'snapshot', header},
    ...items.map(item => ({kind: 'item', item}) as const),
  ];
}
