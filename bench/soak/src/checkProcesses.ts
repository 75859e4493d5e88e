import {formatTime} from './finding.js';
import type {Finding} from './finding.js';
import {hasVmDisturbance} from './inTouch.js';
import {listEvents} from './listEvents.js';
import type {RunHistory} from './runHistory.js';

/** Time after a disturbance in which an end still belongs to it. */
const AFTER_DISTURBANCE_MS = 1_000;
const BYTES_PER_MEBIBYTE = 1024 * 1024;

/** Checks that all processes start and that none ends by itself. */
export function checkProcessEnds(history: RunHistory): readonly Finding[] {
  const notReady = listEvents(history.events, 'deploymentNotReady').map(
    ({at, waitedMs}) => ({
      check: 'processEnds' as const,
      at,
      detail: `not all VMs were ready ${waitedMs} ms after their first start`,
      excuse: null,
    }),
  );
  return [...notReady, ...listOwnEnds(history)];
}

function listOwnEnds(history: RunHistory): readonly Finding[] {
  return listEvents(history.events, 'vmEnded')
    .filter(({isAsked}) => !isAsked)
    .map(({at, vm, pid, result}) => ({
      check: 'processEnds' as const,
      at,
      detail: `process ${pid} of ${vm} ended by itself with ${result}${describeLastSignal(history, vm, at)}`,
      excuse: hasVmDisturbance(history, vm, {
        from: at - AFTER_DISTURBANCE_MS,
        to: at,
      })
        ? 'a disturbance of the VM'
        : null,
    }));
}

/** Checks that processes stay under the memory of their VM. */
export function checkMemory(history: RunHistory): readonly Finding[] {
  const reported = new Set<number>();
  return listEvents(history.events, 'memoryMeasured').flatMap(event => {
    const {at, vm, pid, peakBytes} = event;
    if (peakBytes <= history.memoryBytes || reported.has(pid)) {
      return [];
    }
    reported.add(pid);
    const toMebibytes = (bytes: number): number =>
      Math.round(bytes / BYTES_PER_MEBIBYTE);
    return [
      {
        check: 'memory' as const,
        at,
        detail: `process ${pid} of ${vm} used ${toMebibytes(peakBytes)} MiB of ${toMebibytes(history.memoryBytes)}`,
        excuse: null,
      },
    ];
  });
}

/** Finds the largest memory of any process, in bytes. */
export function measurePeakMemory({events}: RunHistory): number {
  const peaks = listEvents(events, 'memoryMeasured').map(
    ({peakBytes}) => peakBytes,
  );
  return Math.max(0, ...peaks);
}

function describeLastSignal(
  {events}: RunHistory,
  vm: string,
  at: number,
): string {
  const isBefore = (event: {readonly vm: string; readonly at: number}) =>
    event.vm === vm && event.at <= at;
  const last = listEvents(events, 'signalSent').filter(isBefore).at(-1);
  const start = listEvents(events, 'vmStarted').filter(isBefore).at(-1);
  return `, started at ${formatTime(start?.at ?? 0)}, last signal ${last === undefined ? 'none' : `${last.signal} at ${formatTime(last.at)}`}`;
}
