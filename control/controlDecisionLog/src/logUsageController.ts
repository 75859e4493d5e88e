import type {View} from '@gentianshunt/board';
import {defineControlController} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlObservation,
  ControlSections,
  LogUsage,
} from '@gentianshunt/controlModel';
import type {LogIndex} from '@gentianshunt/messages';

import {createDecisionWrite} from './decisionWrite.js';
import {measureEntryBytes} from './entryBytes.js';

/** Growth of the log in memory that the decision log records, in bytes. */
export const LOG_GROWTH_STEP_BYTES = 8 * 1024 * 1024;

type UsageReads = 'log' | 'logStatus' | 'snapshot' | 'logUsage';
type UsageView = View<ControlSections, UsageReads, ControlObservation>;

/** Creates the controller that measures the log in memory. */
export function createLogUsageController(): ControlController {
  return defineControlController<UsageReads, 'logUsage'>({
    name: 'logUsage',
    reads: ['log', 'logStatus', 'snapshot', 'logUsage'],
    writes: ['logUsage'],
    observes: [],
    run: view => {
      const isChanged =
        view.readChanges('log').size + view.readChanges('snapshot').size > 0;
      if (!isChanged) {
        return [];
      }
      const measured = measureLog(view);
      const {entries, bytes, sinceSnapshotBytes, recordedBytes} = measured;
      const isGrown = bytes >= recordedBytes + LOG_GROWTH_STEP_BYTES;
      const isShortened = bytes < recordedBytes;
      const value =
        isGrown || isShortened ? {...measured, recordedBytes: bytes} : measured;
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

function measureLog(view: UsageView): LogUsage {
  const keys = [...view.readChanges('log')] as LogIndex[];
  const {lastIndex} = view.board.logUsage;
  const isAppended =
    view.readChanges('snapshot').size === 0 &&
    keys.every(key => key > lastIndex);
  return isAppended ? addEntries(view, keys) : measureAll(view);
}

function addEntries(
  {board}: UsageView,
  indexes: readonly LogIndex[],
): LogUsage {
  const {logUsage, log, logStatus} = board;
  const added = indexes.reduce((sum, index) => {
    const entry = log.get(index);
    return sum + (entry === undefined ? 0 : measureEntryBytes(entry));
  }, 0);
  return {
    ...logUsage,
    entries: log.size,
    bytes: logUsage.bytes + added,
    sinceSnapshotBytes: logUsage.sinceSnapshotBytes + added,
    lastIndex: logStatus.lastIndex,
  };
}

function measureAll({board}: UsageView): LogUsage {
  const {logUsage, log, logStatus, snapshot} = board;
  const snapshotIndex = snapshot?.index ?? 0;
  let bytes = 0;
  let sinceSnapshotBytes = 0;
  for (const {key, value} of log.iterateFrom()) {
    const size = measureEntryBytes(value);
    bytes += size;
    sinceSnapshotBytes += key > snapshotIndex ? size : 0;
  }
  return {
    entries: log.size,
    bytes,
    sinceSnapshotBytes,
    lastIndex: logStatus.lastIndex,
    recordedBytes: logUsage.recordedBytes,
  };
}
