import {measurePeakDataFolder} from './checkDataFolders.js';
import {countAcknowledgedLeaves} from './checkLeaves.js';
import {measureApplyTime} from './checkObeyedVersions.js';
import {measurePeakMemory} from './checkProcesses.js';
import {isInTouch} from './inTouch.js';
import {listEvents} from './listEvents.js';
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
  readonly acknowledgedVersions: number;
  readonly longestAckMs: number;
  readonly reads: number;
  readonly probes: number;
  /** Longest time after an acknowledgement in which an older version was obeyed. */
  readonly longestApplyMs: number;
  /** The same at VMs in touch. */
  readonly longestApplyInTouchMs: number;
  readonly peakDiskMebibytes: number;
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
    ...countChanges(history),
    peakDiskMebibytes: Math.round(
      measurePeakDataFolder(history) / BYTES_PER_MEBIBYTE,
    ),
  };
}

function countChanges(
  history: RunHistory,
): Pick<
  SoakCounts,
  | 'acknowledgedVersions'
  | 'longestAckMs'
  | 'reads'
  | 'probes'
  | 'longestApplyMs'
  | 'longestApplyInTouchMs'
> {
  const {configuration, events} = history;
  const ackTimes = configuration.versions.flatMap(({sentAt, acknowledgedAt}) =>
    acknowledgedAt === undefined ? [] : [acknowledgedAt - sentAt],
  );
  const late = configuration.probes
    .map(probe => ({probe, applyMs: measureApplyTime(history, probe)}))
    .filter(({applyMs}) => applyMs > 0);
  const inTouch = late.filter(
    ({probe: {vm, sentAt, endedAt}}) =>
      isInTouch(history, vm, sentAt) && isInTouch(history, vm, endedAt),
  );
  const readLongest = (times: readonly {readonly applyMs: number}[]): number =>
    Math.max(0, ...times.map(({applyMs}) => applyMs));
  return {
    acknowledgedVersions: ackTimes.length,
    longestAckMs: Math.max(0, ...ackTimes),
    reads: listEvents(events, 'configurationRead').length,
    probes: configuration.probes.length,
    longestApplyMs: readLongest(late),
    longestApplyInTouchMs: readLongest(inTouch),
  };
}
