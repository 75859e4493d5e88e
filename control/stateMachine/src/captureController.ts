import {defineControlController} from '@gentianshunt/controlModel';
import type {ControlController} from '@gentianshunt/controlModel';

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

/** Creates the controller that captures the applied state for a snapshot. */
export function createCaptureController(
  options: CaptureOptions = {},
): ControlController {
  const interval = options.intervalEntries ?? SNAPSHOT_INTERVAL_LOG_ENTRIES;
  return defineControlController<StateWrites | 'snapshot', 'capturedState'>({
    name: 'capture',
    reads: ['snapshot', ...STATE_SECTIONS],
    writes: ['capturedState'],
    observes: [],
    run: view => {
      const {applied, snapshot} = view.board;
      if (applied.index - (snapshot?.index ?? 0) < interval) {
        return [];
      }
      const items = listSnapshotItems(view.board);
      return [
        {
          kind: 'set',
          section: 'capturedState',
          value: {index: applied.index, items},
        },
      ];
    },
  });
}
