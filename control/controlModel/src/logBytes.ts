import type {BoardView} from '@gentianshunt/board';
import type {LogIndex} from '@gentianshunt/messages';

import type {ControlSections} from './sections.js';

/** The sections from which the bytes of the log are computed. */
export type LogBytesBoard = Pick<
  BoardView<ControlSections>,
  'applied' | 'logOffsets' | 'logStatus' | 'snapshot'
>;

/** The bytes of the log that a member holds. */
export interface LogBytes {
  readonly bytes: number;
  /** Bytes of the applied entries that the latest snapshot lacks. */
  readonly sinceSnapshotBytes: number;
  readonly uncommittedBytes: number;
  /** Bytes of the entries that are not on this member's disk. */
  readonly unsyncedBytes: number;
}

/** Measures the bytes of a member's log. */
export function measureLog(board: LogBytesBoard): LogBytes {
  const {applied, logOffsets, logStatus, snapshot} = board;
  const {base, commitIndex, syncedIndex, lastIndex} = logStatus;
  const readOffset = (index: LogIndex): number =>
    logOffsets.get(Math.max(index, base.index)) ?? 0;
  const end = readOffset(lastIndex);
  return {
    bytes: end - readOffset(base.index),
    sinceSnapshotBytes:
      readOffset(applied.index) - readOffset(snapshot?.index ?? 0),
    uncommittedBytes: end - readOffset(commitIndex),
    unsyncedBytes: end - readOffset(syncedIndex),
  };
}
