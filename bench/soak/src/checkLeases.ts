import type {ProbeHistory} from './configurationHistory.js';
import {formatTime} from './finding.js';
import type {Finding} from './finding.js';
import {hasOwnFault, isCoreStable} from './inTouch.js';
import type {RunTime} from './recordedEvent.js';
import {measureDelay} from './recorderDelay.js';
import type {MemberVm, RunHistory} from './runHistory.js';

/** A time in which the links of a VM were slow and nothing else happened. */
interface SlowStretch {
  readonly from: RunTime;
  readonly to: RunTime;
}

/** Interval at which the state of a VM is examined. */
const STEP_MS = 100;
/** Statuses from this one on say that a call could not be handled. */
const FIRST_FAILED_STATUS = 500;

/** Calls that a VM refused or did not answer, one after the other. */
interface FailedCalls {
  readonly from: RunTime;
  readonly to: RunTime;
}

/**
 * Checks that a VM whose links are slow, and to which nothing else happens, has
 * a lease: it does not refuse all probe calls for longer than the contact time.
 */
export function checkLeases(history: RunHistory): readonly Finding[] {
  return history.vms.flatMap(vm =>
    listSlowStretches(history, vm).flatMap(stretch =>
      checkStretch(history, vm.name, stretch),
    ),
  );
}

function checkStretch(
  history: RunHistory,
  vm: string,
  {from, to}: SlowStretch,
): readonly Finding[] {
  const {configuration, bounds} = history;
  const calls = configuration.probes.filter(
    call => call.vm === vm && call.sentAt >= from && call.endedAt <= to,
  );
  const longest = listFailedCalls(calls).reduce<FailedCalls | undefined>(
    (a, b) => (a === undefined || measure(b) > measure(a) ? b : a),
    undefined,
  );
  if (longest === undefined || measure(longest) <= bounds.contactMs) {
    return [];
  }
  const lateMs = measureDelay(history, longest.to);
  const handled = calls.filter(call => !isFailed(call)).length;
  return [
    {
      check: 'leases',
      at: longest.from + bounds.contactMs,
      detail: `${vm} refused all calls for ${measure(longest)} ms from ${formatTime(longest.from)} on, while only its links were slow, from ${formatTime(from)} to ${formatTime(to)}; ${handled} of ${calls.length} calls were handled`,
      excuse:
        measure(longest) <= bounds.contactMs + lateMs
          ? `the recorder was ${lateMs} ms late`
          : null,
    },
  ];
}

function listFailedCalls(
  calls: readonly ProbeHistory[],
): readonly FailedCalls[] {
  const series: FailedCalls[] = [];
  let isOpen = false;
  for (const call of calls) {
    const {sentAt, endedAt} = call;
    const last = series[series.length - 1];
    if (!isFailed(call)) {
      isOpen = false;
    } else if (isOpen && last !== undefined) {
      series[series.length - 1] = {...last, to: endedAt};
    } else {
      isOpen = true;
      series.push({from: sentAt, to: endedAt});
    }
  }
  return series;
}

function isFailed({status}: ProbeHistory): boolean {
  return status === 0 || status >= FIRST_FAILED_STATUS;
}

function measure({from, to}: FailedCalls): number {
  return to - from;
}

/** Lists the times in which a VM had slow links and no other disturbance. */
function listSlowStretches(
  history: RunHistory,
  vm: MemberVm,
): readonly SlowStretch[] {
  const stretches: SlowStretch[] = [];
  let open: SlowStretch | undefined;
  for (const at of listSlowTimes(history, vm)) {
    if (open !== undefined && at - open.to <= STEP_MS) {
      open = {...open, to: at};
      continue;
    }
    if (open !== undefined) {
      stretches.push(open);
    }
    open = {from: at, to: at};
  }
  return open === undefined ? stretches : [...stretches, open];
}

function listSlowTimes(history: RunHistory, vm: MemberVm): readonly RunTime[] {
  const slow = history.linkSpans.filter(
    ({from, to, fault}) =>
      fault === 'late' && (from === vm.name || to === vm.name),
  );
  const [first] = slow;
  if (first === undefined || vm.hasDisk) {
    return [];
  }
  const start = Math.min(...slow.map(span => span.start));
  const end = Math.max(
    ...slow.map(span => Math.min(span.end, readEnd(history))),
  );
  const steps = Math.max(0, Math.ceil((end - start) / STEP_MS));
  return Array.from(
    {length: steps},
    (_, step) => start + step * STEP_MS,
  ).filter(
    at =>
      slow.some(span => span.start <= at && span.end > at) &&
      isOnlySlow(history, vm.name, at),
  );
}

/** Whether slow links are all that happened within the contact time before. */
function isOnlySlow(history: RunHistory, vm: string, at: RunTime): boolean {
  const window = {from: at - history.bounds.contactMs, to: at};
  return isCoreStable(history, at) && !hasOwnFault(history, vm, window);
}

function readEnd({events}: RunHistory): RunTime {
  return events[events.length - 1]?.at ?? 0;
}
