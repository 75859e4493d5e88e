import {mkdir, open} from 'node:fs/promises';
import type {FileHandle} from 'node:fs/promises';
import {join} from 'node:path';

import type {Ballot, PersistBatch} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import type {LogEntry} from '@gentianshunt/messages';

import {CorruptLogError, LogWriteError} from './logFileErrors.js';
import {decodeRecord, encodeRecord} from './record.js';
import type {LogRecord} from './record.js';

const LOG_FILE_NAME = 'control.log';

/** What the log file held when it was opened. */
export interface StoredLog {
  readonly ballot: Ballot;
  readonly entries: readonly LogEntry[];
}

/** The replicated log on disk. */
export interface LogFile {
  readonly stored: StoredLog;
  /** Queues a batch; batches queued meanwhile share one sync. */
  persist(batch: PersistBatch): void;
  close(): Promise<void>;
}

/** What a log file needs. */
export interface LogFileOptions {
  readonly dataFolder: string;
  /** Called once a batch and all before it are synced. */
  readonly onPersisted: (sequence: number) => void;
  /** Called when a write or sync failed; nothing further is written. */
  readonly onFailed: (error: LogWriteError) => void;
}

/** Opens the log in a data folder, cutting off a torn tail. */
export async function openLogFile(options: LogFileOptions): Promise<LogFile> {
  await mkdir(options.dataFolder, {recursive: true});
  const path = join(options.dataFolder, LOG_FILE_NAME);
  const file = await open(path, 'a+');
  const bytes = await file.readFile();
  const {stored, length} = readRecords(bytes, path);
  if (length < bytes.length) {
    await file.truncate(length);
  }
  await file.sync();
  await syncFolder(options.dataFolder);
  const queue = createWriteQueue(file, path, options);
  return {
    stored,
    persist: queue.push,
    close: async () => {
      await queue.drain();
      await file.close();
    },
  };
}

async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  await handle.sync();
  await handle.close();
}

interface ReadResult {
  readonly stored: StoredLog;
  /** Bytes that hold whole records. */
  readonly length: number;
}

function readRecords(bytes: Buffer, path: string): ReadResult {
  let ballot: Ballot = {term: 0, votedFor: null};
  const entries: LogEntry[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const decoded = decodeRecord(bytes, offset);
    if (decoded.kind === 'torn') {
      break;
    }
    if (decoded.kind === 'corrupt') {
      throw new CorruptLogError(path, offset);
    }
    offset = decoded.nextOffset;
    const {record} = decoded;
    switch (record.kind) {
      case 'ballot':
        ballot = record.ballot;
        break;
      case 'truncate':
        entries.length = Math.min(entries.length, record.from - 1);
        break;
      case 'entry':
        entries.push(record.entry);
        break;
      default:
        assertNever(record, 'readRecords');
    }
  }
  return {stored: {ballot, entries}, length: offset};
}

interface WriteQueue {
  push(batch: PersistBatch): void;
  drain(): Promise<void>;
}

function createWriteQueue(
  file: FileHandle,
  path: string,
  options: LogFileOptions,
): WriteQueue {
  let queued: PersistBatch[] = [];
  let writing: Promise<void> | undefined;
  const writeQueued = async (): Promise<void> => {
    while (queued.length > 0) {
      const batches = queued;
      queued = [];
      await writeBatches(file, path, batches);
      options.onPersisted(batches[batches.length - 1]!.sequence);
    }
  };
  const start = (): void => {
    writing = writeQueued().then(
      () => {
        writing = undefined;
      },
      (error: unknown) => options.onFailed(error as LogWriteError),
    );
  };
  return {
    push: batch => {
      queued.push(batch);
      if (writing === undefined) {
        start();
      }
    },
    drain: async () => {
      await writing;
    },
  };
}

async function writeBatches(
  file: FileHandle,
  path: string,
  batches: readonly PersistBatch[],
): Promise<void> {
  const records = batches.flatMap(toRecords).map(encodeRecord);
  if (records.length === 0) {
    return;
  }
  try {
    await file.appendFile(Buffer.concat(records));
  } catch (error) {
    throw new LogWriteError(path, 'append', error);
  }
  try {
    await file.datasync();
  } catch (error) {
    throw new LogWriteError(path, 'sync', error);
  }
}

function toRecords(batch: PersistBatch): readonly LogRecord[] {
  const records: LogRecord[] = [];
  if (batch.ballot !== null) {
    records.push({kind: 'ballot', ballot: batch.ballot});
  }
  if (batch.truncateFrom !== null) {
    records.push({kind: 'truncate', from: batch.truncateFrom});
  }
  batch.entries.forEach(entry => records.push({kind: 'entry', entry}));
  return records;
}
