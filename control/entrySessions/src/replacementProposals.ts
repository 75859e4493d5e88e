import type {BoardView} from '@gentianshunt/board';
import {measureLog} from '@gentianshunt/controlModel';
import type {ControlSections, LogBytesBoard} from '@gentianshunt/controlModel';
import type {
  ConfigurationReplacement,
  LogPayload,
} from '@gentianshunt/messages';

/** The sections that decide whether a replacement is proposed. */
export type ReplacementBoard = LogBytesBoard &
  Pick<BoardView<ControlSections>, 'identity' | 'log'>;

/**
 * Proposes a replacement of the configuration. It is not appended while the log
 * holds the same or a later version that is not applied yet: once that one is
 * applied, it answers this request as well. Nor is it appended while the bytes
 * that wait for the group or the disk exceed their bound. In both cases the
 * entry's next request decides again.
 */
export function proposeReplacement(
  board: ReplacementBoard,
  replacement: ConfigurationReplacement,
): readonly LogPayload[] {
  const {logBounds} = board.identity;
  const usage = measureLog(board);
  const isWaiting =
    hasUnappliedVersion(board, replacement.version) ||
    usage.uncommittedBytes >= logBounds.uncommittedBytes ||
    usage.unsyncedBytes >= logBounds.unsyncedBytes;
  return isWaiting ? [] : [{kind: 'replaceConfiguration', replacement}];
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
