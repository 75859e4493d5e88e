import {defineControlController} from '@gentianshunt/controlModel';
import type {ControlController} from '@gentianshunt/controlModel';

import {STATE_SECTIONS} from './stateDraft.js';
import type {StateWrites} from './stateDraft.js';
import {listSnapshotItems} from './stateSnapshot.js';

/** Entries applied after a snapshot before the next one is taken. */
export const SNAPSHOT_INTERVAL_ENTRIES = 4_096;

/** When the applied state is captured. */
export interface CaptureOptions {
  readonly intervalEntries?: number;
}

/** Creates the controller that captures the applied state for a snapshot. */
export function createCaptureController(
  options: CaptureOptions = {},
): ControlController {
  const interval = options.intervalEntries ?? SNAPSHOT_INTERVAL_ENTRIES;
  return defineControlController<StateWrites | 'snapshot', 'captured'>({
    name: 'capture',
    reads: ['snapshot', ...STATE_SECTIONS],
    writes: ['captured'],
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
          section: 'captured',
          value: {index: applied.index, items},
        },
      ];
    },
  });
}
