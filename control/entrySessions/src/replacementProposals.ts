import type {BoardView} from '@gentianshunt/board';
import {measureLog} from '@gentianshunt/controlModel';
import type {ControlSections, LogBytesBoard} from '@gentianshunt/controlModel';

/** The sections that decide whether a replacement is proposed. */
export type ReplacementBoard = LogBytesBoard &
  Pick<BoardView<ControlSections>, 'identity' | 'log'>;

/** What is done with a replacement of the configuration. */
export type ReplacementDecision =
  | {readonly kind: 'propose'}
  /** The log holds the same or a later version, which will answer it. */
  | {readonly kind: 'awaitApplied'}
  /** Too many bytes wait for the group or the disk. */
  | {
      readonly kind: 'defer';
      readonly uncommittedBytes: number;
      readonly unsyncedBytes: number;
    };

/**
 * Decides whether a replacement of the configuration is appended to the log. It
 * is not while the log holds the same or a later version that is not applied
 * yet: once that one is applied, it answers this request as well. Nor is it
 * while the bytes that wait exceed their bound; the entry's next request decides
 * again.
 */
export function decideReplacement(
  board: ReplacementBoard,
  version: number,
): ReplacementDecision {
  if (hasUnappliedVersion(board, version)) {
    return {kind: 'awaitApplied'};
  }
  const {logBounds} = board.identity;
  const {uncommittedBytes, unsyncedBytes} = measureLog(board);
  const isFull =
    uncommittedBytes >= logBounds.uncommittedBytes ||
    unsyncedBytes >= logBounds.unsyncedBytes;
  return isFull
    ? {kind: 'defer', uncommittedBytes, unsyncedBytes}
    : {kind: 'propose'};
}

/** Returns whether an entry that is not applied holds a version or later. */
function hasUnappliedVersion(
  {log, applied}: ReplacementBoard,
  version: number,
): boolean {
  for (const {value} of log.iterateFrom(applied.index + 1)) {
    const {payload} = value;
    if (
      payload.kind === 'replaceConfiguration' &&
      payload.replacement.version >= version
    ) {
      return true;
    }
  }
  return false;
}
