import type {PersistBatch} from '@gentianshunt/controlModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import type {LogEntry, Member, StorageId} from '@gentianshunt/messages';

import {openLogFile} from '../src/index.js';
import type {LogFile, LogWriteError, StorageFolder} from '../src/index.js';

/** An opened log, with the batches and failures that it reported. */
export interface TestLog {
  readonly file: LogFile;
  readonly persisted: readonly number[];
  readonly failures: readonly LogWriteError[];
  /** Persists batches and waits until they are written or have failed. */
  persist(...batches: readonly PersistBatch[]): Promise<void>;
}

let drawnIdCount = 0;

/** Opens the log in a folder. */
export async function openTestLog(folder: StorageFolder): Promise<TestLog> {
  const persisted: number[] = [];
  const failures: LogWriteError[] = [];
  const file = await openLogFile({
    folder,
    drawStorageId: () => {
      drawnIdCount += 1;
      return toIdentifier<StorageId>(`storage-${drawnIdCount}`);
    },
    onPersisted: sequence => persisted.push(sequence),
    onFailed: error => failures.push(error),
  });
  return {
    file,
    persisted,
    failures,
    persist: async (...batches) => {
      batches.forEach(file.persist);
      await file.close();
    },
  };
}

/** Creates a log entry without effect. */
export function createEntry(index: number, term = 1): LogEntry {
  return {index, term, payload: {kind: 'noop'}};
}

/** Creates a log entry that holds a document of a size in bytes. */
export function createDocumentEntry(index: number, bytes: number): LogEntry {
  const source = new Uint8Array(bytes);
  const replacement = {version: index, objects: [], source};
  return {
    index,
    term: 1,
    payload: {kind: 'replaceConfiguration', replacement},
  };
}

/** Creates a batch that appends entries. */
export function createAppendBatch(
  sequence: number,
  entries: readonly LogEntry[],
  truncateFrom: number | null = null,
): PersistBatch {
  const ballot = {term: sequence, votedFor: toIdentifier<NodeId>('control-0')};
  return {kind: 'append', sequence, ballot, truncateFrom, entries};
}

/** Creates a batch that replaces the log up to an index with a snapshot. */
export function createCompactBatch(
  sequence: number,
  index: number,
  entries: readonly LogEntry[] = [],
): PersistBatch {
  return {
    kind: 'compact',
    sequence,
    ballot: {term: sequence, votedFor: null},
    snapshot: {
      index,
      term: 1,
      members: [createMember()],
      items: [{kind: 'set', section: 'applied', value: {index, version: 0}}],
    },
    base: {index, term: 1},
    entries,
  };
}

function createMember(): Member {
  return {
    node: toIdentifier<NodeId>('control-0'),
    storage: toIdentifier<StorageId>('storage-0'),
    role: 'voter',
  };
}
