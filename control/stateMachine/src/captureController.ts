import type {BoardView} from '@gentianshunt/board';
import {defineControlController, measureLog} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlSections,
  LogBounds,
  LogBytesBoard,
} from '@gentianshunt/controlModel';

import {STATE_SECTIONS} from './stateSections.js';
import type {StateWrites} from './stateSections.js';
import {listSnapshotItems} from './stateSnapshot.js';

/** Log entries applied after a snapshot before the next one is captured. */
export const SNAPSHOT_INTERVAL_LOG_ENTRIES = 4_096;

/** Options of the capture controller. */
export interface CaptureOptions {
  /** Log entries between two snapshots. */
  readonly intervalEntries?: number;
}

type CaptureReads =
  | StateWrites
  | keyof LogBytesBoard
  | 'identity'
  | 'snapshotBytes'
  | 'unsyncedBatches';
type CaptureBoard = Pick<BoardView<ControlSections>, CaptureReads>;

/**
 * Creates the controller that captures the applied state for a snapshot, by
 * the number and the bytes of the log entries since the last one.
 */
export function createCaptureController(
  options: CaptureOptions = {},
): ControlController {
  const intervalEntries =
    options.intervalEntries ?? SNAPSHOT_INTERVAL_LOG_ENTRIES;
  return defineControlController<CaptureReads, 'capturedState'>({
    name: 'capture',
    reads: [
      'identity',
      'logStatus',
      'logOffsets',
      'snapshot',
      'snapshotBytes',
      'unsyncedBatches',
      ...STATE_SECTIONS,
    ],
    writes: ['capturedState'],
    observes: [],
    run: ({board}) => {
      if (!isDue(board, intervalEntries) || isCompacting(board)) {
        return [];
      }
      const {index} = board.applied;
      const value = {index, items: listSnapshotItems(board)};
      return [{kind: 'set', section: 'capturedState', value}];
    },
  });
}

function isDue(board: CaptureBoard, intervalEntries: number): boolean {
  const {applied, snapshot, snapshotBytes, identity} = board;
  const entries = applied.index - (snapshot?.index ?? 0);
  const intervalBytes = computeIntervalBytes(identity.logBounds, snapshotBytes);
  return (
    entries >= intervalEntries ||
    measureLog(board).sinceSnapshotBytes >= intervalBytes
  );
}

/** Spreads the cost of a large snapshot over as many bytes of the log. */
function computeIntervalBytes(
  {minSnapshotIntervalBytes, maxSnapshotIntervalBytes}: LogBounds,
  snapshotBytes: number,
): number {
  return Math.min(
    maxSnapshotIntervalBytes,
    Math.max(minSnapshotIntervalBytes, snapshotBytes),
  );
}

/** Returns whether the last snapshot is still being written. */
function isCompacting({unsyncedBatches}: CaptureBoard): boolean {
  for (const {value} of unsyncedBatches.iterateFrom()) {
    if (value.kind === 'compact') {
      return true;
    }
  }
  return false;
}
