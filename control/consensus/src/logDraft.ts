import type {ControlWrite, LogStatus} from '@gentianshunt/controlModel';
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

/** The log, including the changes of the current run. */
export interface LogDraft {
  readEntry(index: LogIndex): LogEntry | undefined;
  /** Reads the term at an index; `undefined` before and after the log. */
  readTerm(index: LogIndex): Term | undefined;
  /** Reads up to `count` entries from an index on. */
  listEntries(from: LogIndex, count: number): readonly LogEntry[];
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
  listWrites(): readonly ControlWrite<'log'>[];
}

/** Creates a draft of the log; it updates `logStatus` with every change. */
export function createLogDraft(
  view: ConsensusView,
  cells: CellDraft,
): LogDraft {
  const stored = view.board.log;
  const changed = new Map<LogIndex, LogEntry | undefined>();
  const appended = new Map<LogIndex, LogEntry>();
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
    }
  };
  const put = (entry: LogEntry): void => {
    changed.set(entry.index, entry);
  };
  const setLast = (last: LogPosition): void =>
    setStatus({lastIndex: last.index, lastTerm: last.term});

  return {
    readEntry,
    readTerm,
    listEntries: (from, count) => {
      const last = Math.min(readStatus().lastIndex, from + count - 1);
      const entries: LogEntry[] = [];
      for (let index = from; index <= last; index += 1) {
        entries.push(readEntry(index)!);
      }
      return entries;
    },
    restore: ({base, entries, commitIndex}) => {
      entries.forEach(put);
      const last = entries[entries.length - 1] ?? base;
      setStatus({base, syncedIndex: last.index, commitIndex});
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
      remove(readStatus().base.index + 1, base.index);
      setStatus({base});
    },
    reset: base => {
      const {base: oldBase, lastIndex} = readStatus();
      remove(oldBase.index + 1, lastIndex);
      setStatus({base, syncedIndex: 0, commitIndex: base.index});
      setLast(base);
    },
    listAppended: () => [...appended.values()],
    readTruncation: () => truncation,
    listWrites: () =>
      [...changed].map(([key, value]) =>
        value === undefined
          ? {kind: 'delete', section: 'log', key}
          : {kind: 'put', section: 'log', key, value},
      ),
  };
}
