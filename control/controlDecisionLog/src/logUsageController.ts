import {
  createDecisionWrite,
  defineControlController,
  measureLog,
} from '@gentianshunt/controlModel';
import type {
  ControlController,
  LogBytesBoard,
} from '@gentianshunt/controlModel';

/** Growth of the log in memory that the decision log records, in bytes. */
export const LOG_GROWTH_STEP_BYTES = 8 * 1024 * 1024;

type UsageReads = keyof LogBytesBoard | 'log' | 'logUsage';

/** Creates the controller that measures the log in memory. */
export function createLogUsageController(): ControlController {
  return defineControlController<UsageReads, 'logUsage'>({
    name: 'logUsage',
    reads: [
      'applied',
      'logOffsets',
      'logStatus',
      'snapshot',
      'log',
      'logUsage',
    ],
    writes: ['logUsage'],
    observes: [],
    run: view => {
      const isChanged =
        view.readChanges('log').size + view.readChanges('snapshot').size > 0;
      if (!isChanged) {
        return [];
      }
      const {recordedBytes} = view.board.logUsage;
      const {bytes, sinceSnapshotBytes} = measureLog(view.board);
      const entries = view.board.log.size;
      const isGrown = bytes >= recordedBytes + LOG_GROWTH_STEP_BYTES;
      const isShortened = bytes < recordedBytes;
      const value = {
        entries,
        bytes,
        sinceSnapshotBytes,
        recordedBytes: isGrown || isShortened ? bytes : recordedBytes,
      };
      return [
        {kind: 'set', section: 'logUsage', value},
        ...(isGrown
          ? [
              createDecisionWrite({
                kind: 'logGrown',
                entries,
                bytes,
                sinceSnapshotBytes,
              }),
            ]
          : []),
      ];
    },
  });
}
