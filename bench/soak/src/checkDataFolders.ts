import type {Finding} from './finding.js';
import {listEvents} from './listEvents.js';
import type {RunHistory} from './runHistory.js';

const BYTES_PER_MEBIBYTE = 1024 * 1024;

/** Checks that data folders stay under the size of their disk. */
export function checkDataFolders(history: RunHistory): readonly Finding[] {
  const {events, diskBytes} = history;
  const reported = new Set<string>();
  return listEvents(events, 'dataFolderMeasured').flatMap(({at, vm, bytes}) => {
    if (bytes <= diskBytes || reported.has(vm)) {
      return [];
    }
    reported.add(vm);
    return [
      {
        check: 'dataFolders',
        at,
        detail: `the data folder of ${vm} holds ${toMebibytes(bytes)} MiB of ${toMebibytes(diskBytes)}`,
        excuse: null,
      },
    ];
  });
}

/** Finds the largest data folder at any time, in bytes. */
export function measurePeakDataFolder({events}: RunHistory): number {
  const sizes = listEvents(events, 'dataFolderMeasured').map(
    ({bytes}) => bytes,
  );
  return sizes.reduce((largest, bytes) => Math.max(largest, bytes), 0);
}

function toMebibytes(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MEBIBYTE);
}
