import {countAcknowledgedLeaves} from './checkLeaves.js';
import {measurePeakMemory} from './checkProcesses.js';
import {listEvents} from './runHistory.js';
import type {RunHistory} from './runHistory.js';

/** What happened in a run, in numbers. */
export interface SoakCounts {
  readonly actions: number;
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  readonly cut: number;
  readonly cancelled: number;
  readonly leaves: number;
  readonly peakMebibytes: number;
  readonly longestDelayMs: number;
}

const BYTES_PER_MEBIBYTE = 1024 * 1024;

/** Counts what happened in a run with a number of actions. */
export function countEvents(history: RunHistory, actions: number): SoakCounts {
  const results = listEvents(history.events, 'requestEnded').map(
    ({result}) => result,
  );
  const countResults = (isCounted: (result: (typeof results)[0]) => boolean) =>
    results.filter(isCounted).length;
  const delays = listEvents(history.events, 'recorderDelayed');
  return {
    actions,
    requests: history.requests.size,
    answered: countResults(
      result => result.kind === 'whole' && result.status < 300,
    ),
    refused: countResults(
      result => result.kind === 'whole' && result.status >= 300,
    ),
    cut: countResults(({kind}) => kind === 'cut'),
    cancelled: countResults(({kind}) => kind === 'cancelled'),
    leaves: countAcknowledgedLeaves(history),
    peakMebibytes: Math.round(measurePeakMemory(history) / BYTES_PER_MEBIBYTE),
    longestDelayMs: Math.max(0, ...delays.map(({delayMs}) => delayMs)),
  };
}
