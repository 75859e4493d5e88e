import type {SiteRouteKind} from '@gentianshunt/platformWorker';

import {BOUNDS, createRunHistory} from '../src/index.js';
import type {RecordedEvent, RunHistory} from '../src/index.js';

/** VMs of the fixture: three of the core and two without a disk. */
export const VMS = ['core-1', 'core-2', 'core-3', 'plain-1', 'plain-2'];

/** A VM with a disk that can take the place of another one. */
export const SPARE = 'core-4';

/** A time long after the start, when every VM is in touch. */
export const CALM = 60_000;

const MEMORY_BYTES = 200_000_000;
const DISK_BYTES = 64_000_000;

/** Creates a history from events; all VMs have run since the start. */
export function createHistory(...events: readonly RecordedEvent[]): RunHistory {
  const starts = VMS.map((vm, pid): RecordedEvent => ({
    at: 0,
    kind: 'vmStarted',
    vm,
    cause: 'firstStart',
    pid,
  }));
  const sorted = [...starts, ...events].sort((a, b) => a.at - b.at);
  return createRunHistory({
    bounds: BOUNDS,
    memoryBytes: MEMORY_BYTES,
    diskBytes: DISK_BYTES,
    vms: [...VMS, SPARE].map(name => ({
      name,
      hasDisk: name.startsWith('core'),
    })),
    events: sorted,
  });
}

/** Creates the end of a VM for good, and the start of another one later. */
export function createReplacement(
  at: number,
  vm: string,
  by: string,
  downMs: number,
): readonly RecordedEvent[] {
  const joinedAt = at + downMs;
  return [
    createSignal(at, vm, 'SIGKILL'),
    {at: joinedAt, kind: 'vmReplaced', vm, by},
    {at: joinedAt, kind: 'vmStarted', vm: by, cause: 'joined', pid: toPid(by)},
  ];
}

/** Creates a sent request. */
export function createSent(
  at: number,
  attempt: string,
  options: {
    readonly vm?: string;
    readonly kind?: SiteRouteKind;
    readonly isKept?: boolean;
  } = {},
): RecordedEvent {
  const {vm = 'plain-1', kind = 'safe', isKept = true} = options;
  const request = {attempt, vm, kind, timeLeftMs: 4_000, isKept};
  return {at, kind: 'requestSent', request};
}

/** Creates the arrival of a request and the start of its run. */
export function createRun(
  at: number,
  attempt: string,
  options: {
    readonly endpoint?: string;
    readonly plannedMs?: number;
    readonly isIntact?: boolean;
  } = {},
): readonly RecordedEvent[] {
  const {endpoint = 'e-1', plannedMs = 100, isIntact = true} = options;
  return [
    {at, kind: 'arrived', attempt, endpoint},
    {at, kind: 'runStarted', attempt, endpoint, isIntact, plannedMs},
  ];
}

/** Creates the whole answer to a request. */
export function createAnswer(
  at: number,
  attempt: string,
  status = 200,
  defect?: string,
): RecordedEvent {
  const result = {kind: 'whole', status, defect} as const;
  return {at, kind: 'requestEnded', attempt, result};
}

/** Creates the end of a connection before the answer was complete. */
export function createCut(
  at: number,
  attempt: string,
  isReset = false,
): RecordedEvent {
  const result = {kind: 'cut', hasHead: false, isReset, detail: ''} as const;
  return {at, kind: 'requestEnded', attempt, result};
}

/** Creates the end of a request whose caller left. */
export function createCancel(at: number, attempt: string): RecordedEvent {
  const result = {kind: 'cancelled', cause: 'planned'} as const;
  return {at, kind: 'requestEnded', attempt, result};
}

/** Creates an acknowledged leave of the endpoint `e-1`. */
export function createLeave(at: number, vm = 'plain-1'): RecordedEvent {
  return {
    at,
    kind: 'leaveAcknowledged',
    endpoint: 'e-1',
    vm,
    form: 'draining',
  };
}

/** Creates a signal to a VM. */
export function createSignal(
  at: number,
  vm: string,
  signal: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP',
): RecordedEvent {
  return {at, kind: 'signalSent', vm, signal, pid: toPid(vm)};
}

/** The process of a VM, until another one is started there. */
function toPid(vm: string): number {
  return VMS.indexOf(vm);
}
