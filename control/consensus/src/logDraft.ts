import {compareValues, createOrderedDraft} from '@gentianshunt/board';
import type {ControlWrite, LogStatus} from '@gentianshunt/controlModel';
import {measureLogEntry} from '@gentianshunt/messages';
import type {
  LogEntry,
  LogIndex,
  LogPosition,
  Term,
} from '@gentianshunt/messages';

import type {CellDraft} from './cellDraft.js';
import type {ConsensusView} from './consensusView.js';

/** The log as it is stored on disk. */
export interface StoredLogState {
  readonly base: LogPosition;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: LogIndex;
}

/** The most that a list of entries may hold; one entry is always listed. */
export interface ListLimits {
  readonly entries: number;
  readonly bytes: number;
}

/** The log, including the changes of the current run. */
export interface LogDraft {
  readEntry(index: LogIndex): LogEntry | undefined;
  /** Reads the term at an index; `undefined` before and after the log. */
  readTerm(index: LogIndex): Term | undefined;
  /** Reads up to `count` entries from an index on. */
  listEntries(from: LogIndex, count: number): readonly LogEntry[];
  /** Reads entries from an index on, within limits. */
  listEntriesWithin(from: LogIndex, limits: ListLimits): readonly LogEntry[];
  /** Measures the bytes of the entries after an index, up to another one. */
  measureBytes(after: LogIndex, through: LogIndex): number;
  /** Loads a stored log without storing it again. */
  restore(stored: StoredLogState): void;
  /** Appends entries after the last one. */
  append(entries: readonly LogEntry[]): void;
  /** Removes the entries from an index on. */
  truncate(from: LogIndex): void;
  /** Discards the entries up to and including a position. */
  discardThrough(base: LogPosition): void;
  /** Discards the whole log; it continues after a snapshot's position. */
  reset(base: LogPosition): void;
  /** Lists the entries appended in this run. */
  listAppended(): readonly LogEntry[];
  /** Returns the lowest index truncated in this run, or `null`. */
  readTruncation(): LogIndex | null;
  listWrites(): readonly ControlWrite<'log' | 'logOffsets'>[];
}

/** Creates a draft of the log; it updates `logStatus` with every change. */
export function createLogDraft(
  view: ConsensusView,
  cells: CellDraft,
): LogDraft {
  const stored = view.board.log;
  const changed = new Map<LogIndex, LogEntry | undefined>();
  const appended = new Map<LogIndex, LogEntry>();
  const offsets = createOrderedDraft({
    view: view.board.logOffsets,
    compare: compareValues<LogIndex>,
  });
  let truncation: LogIndex | null = null;

  const readStatus = (): LogStatus => cells.read('logStatus');
  const setStatus = (change: Partial<LogStatus>): void =>
    cells.set('logStatus', {...readStatus(), ...change});
  const readEntry = (index: LogIndex): LogEntry | undefined =>
    changed.has(index) ? changed.get(index) : stored.get(index);
  const readTerm = (index: LogIndex): Term | undefined => {
    const {base} = readStatus();
    return index === base.index ? base.term : readEntry(index)?.term;
  };
  const remove = (from: LogIndex, to: LogIndex): void => {
    for (let index = from; index <= to; index += 1) {
      changed.set(index, undefined);
      appended.delete(index);
      offsets.delete(index);
    }
  };
  const readOffset = (index: LogIndex): number =>
    offsets.get(Math.max(index, readStatus().base.index)) ?? 0;
  const put = (entry: LogEntry): void => {
    changed.set(entry.index, entry);
    const offset = readOffset(entry.index - 1) + measureLogEntry(entry);
    offsets.put(entry.index, offset);
  };
  const listEntries = (from: LogIndex, count: number): readonly LogEntry[] => {
    const last = Math.min(readStatus().lastIndex, from + count - 1);
    const entries: LogEntry[] = [];
    for (let index = from; index <= last; index += 1) {
      entries.push(readEntry(index)!);
    }
    return entries;
  };
  const measureBytes = (after: LogIndex, through: LogIndex): number =>
    readOffset(through) - readOffset(after);
  const setLast = (last: LogPosition): void =>
    setStatus({lastIndex: last.index, lastTerm: last.term});

  return {
    readEntry,
    readTerm,
    listEntries,
    listEntriesWithin: (from, limits) => {
      const last = Math.min(readStatus().lastIndex, from + limits.entries - 1);
      let through = from;
      while (
        through < last &&
        measureBytes(from - 1, through + 1) <= limits.bytes
      ) {
        through += 1;
      }
      return listEntries(from, through - from + 1);
    },
    measureBytes,
    restore: ({base, entries, commitIndex}) => {
      const last = entries[entries.length - 1] ?? base;
      setStatus({base, syncedIndex: last.index, commitIndex});
      offsets.put(base.index, 0);
      entries.forEach(put);
      setLast(last);
    },
    append: entries => {
      for (const entry of entries) {
        put(entry);
        appended.set(entry.index, entry);
        setLast(entry);
      }
    },
    truncate: from => {
      truncation = Math.min(from, truncation ?? from);
      remove(from, readStatus().lastIndex);
      setLast({index: from - 1, term: readTerm(from - 1)!});
      const syncedIndex = Math.min(readStatus().syncedIndex, from - 1);
      setStatus({syncedIndex});
    },
    discardThrough: base => {
      const offset = readOffset(base.index);
      offsets.delete(readStatus().base.index);
      remove(readStatus().base.index + 1, base.index);
      setStatus({base});
      offsets.put(base.index, offset);
    },
    reset: base => {
      const {base: oldBase, lastIndex} = readStatus();
      offsets.delete(oldBase.index);
      remove(oldBase.index + 1, lastIndex);
      setStatus({base, syncedIndex: 0, commitIndex: base.index});
      offsets.put(base.index, 0);
      setLast(base);
    },
    listAppended: () => [...appended.values()],
    readTruncation: () => truncation,
    listWrites: () => [
      ...[...changed].map(([key, value]) =>
        value === undefined
          ? ({kind: 'delete', section: 'log', key} as const)
          : ({kind: 'put', section: 'log', key, value} as const),
      ),
      ...offsets.listWrites('logOffsets' as const),
    ],
  };
}
