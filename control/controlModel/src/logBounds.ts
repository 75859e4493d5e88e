/** Bounds on the bytes of the log that a control daemon holds. */
export interface LogBounds {
  /** Least bytes of log entries between two snapshots. */
  readonly minSnapshotIntervalBytes: number;
  /** Most bytes of log entries between two snapshots. */
  readonly maxSnapshotIntervalBytes: number;
  /** Bytes of log entries kept before a snapshot. */
  readonly retainedBytes: number;
  /** Bytes of log entries kept while a follower receives a snapshot. */
  readonly transferBytes: number;
  /**
   * Bytes of log entries that are not committed beyond which no further
   * replacement of the configuration is appended.
   */
  readonly uncommittedBytes: number;
  /** The same for entries that are not on the leader's disk. */
  readonly unsyncedBytes: number;
  /** Bytes of stored answers beyond which a leader proposes no further ones. */
  readonly answerBytes: number;
}

/** What a control daemon may use. */
export interface LogResources {
  /** Memory of the process, in bytes. */
  readonly memoryBytes: number;
  /** Space for the data folder, in bytes. */
  readonly diskBytes: number;
}

const BYTES_PER_MB = 1_024 * 1_024;
/** The log shares the memory with the rest of the process. */
const MEMORY_FRACTION = 1 / 64;
/** A compaction holds two snapshots and two logs on the disk. */
const DISK_FRACTION = 1 / 32;
const MIN_UNIT_BYTES = BYTES_PER_MB;
const MAX_UNIT_BYTES = 64 * BYTES_PER_MB;
/** Space for the data folder if the settings name none, in bytes. */
export const DEFAULT_DISK_BYTES = 1_024 * BYTES_PER_MB;
/** Bounds of a daemon whose settings name no limits. */
export const DEFAULT_LOG_BOUNDS: LogBounds = planLogBounds({
  memoryBytes: 512 * BYTES_PER_MB,
  diskBytes: DEFAULT_DISK_BYTES,
});

/** Plans the bounds of the log from what a control daemon may use. */
export function planLogBounds(resources: LogResources): LogBounds {
  const {memoryBytes, diskBytes} = resources;
  const unit = Math.min(
    MAX_UNIT_BYTES,
    memoryBytes * MEMORY_FRACTION,
    diskBytes * DISK_FRACTION,
  );
  const bytes = Math.floor(Math.max(MIN_UNIT_BYTES, unit));
  return {
    minSnapshotIntervalBytes: bytes,
    maxSnapshotIntervalBytes: 4 * bytes,
    retainedBytes: bytes,
    transferBytes: 4 * bytes,
    uncommittedBytes: bytes,
    unsyncedBytes: 4 * bytes,
    answerBytes: 4 * bytes,
  };
}
