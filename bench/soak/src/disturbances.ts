import type {
  LinkFaultKind,
  RecordedEvent,
  RunTime,
  VmSignal,
} from './recordedEvent.js';

/** A time in which a VM did not run as usual. */
export interface VmSpan {
  readonly vm: string;
  readonly from: RunTime;
  readonly to: RunTime;
  /** Whether it is planned work: a SIGTERM and the start that follows. */
  readonly isPlanned: boolean;
  /** Whether the VM was paused, so that its process went on afterwards. */
  readonly isPause: boolean;
}

/** A time in which the links between two VMs had a fault. */
export interface LinkSpan {
  readonly from: string;
  readonly to: string;
  readonly fault: LinkFaultKind;
  readonly start: RunTime;
  readonly end: RunTime;
}

interface OpenSpan {
  readonly from: RunTime;
  readonly isPlanned: boolean;
  readonly isPause: boolean;
}

/**
 * Lists the times in which VMs were down or paused; a VM that left for good is
 * down until another one takes its place. The end of a process by itself, and
 * the start after it, are no disturbance.
 */
export function listVmSpans(
  events: readonly RecordedEvent[],
): readonly VmSpan[] {
  const open = new Map<string, OpenSpan>();
  const newestPids = new Map<string, number>();
  const spans: VmSpan[] = [];
  const end = (vm: string, to: RunTime): void => {
    const span = open.get(vm);
    if (span !== undefined) {
      open.delete(vm);
      spans.push({vm, to, ...span});
    }
  };
  for (const event of events) {
    if (event.kind === 'signalSent') {
      const {vm, signal, at, pid} = event;
      // A predecessor that still ends does not disturb its successor.
      const isOld = newestPids.get(vm) !== pid;
      if (isOld) {
        continue;
      }
      const before = open.get(vm);
      if (signal === 'SIGCONT') {
        if (before?.isPause === true) {
          end(vm, at);
        }
      } else if (signal !== 'SIGHUP') {
        open.set(vm, openSpan(signal, before, at));
      }
    } else if (event.kind === 'vmStarted') {
      const {vm, at, cause, pid} = event;
      newestPids.set(vm, pid);
      end(vm, at);
      if (cause === 'firstStart' || cause === 'joined') {
        spans.push({vm, from: at, to: at, isPlanned: false, isPause: false});
      }
    } else if (event.kind === 'vmReplaced') {
      end(event.vm, event.at);
    }
  }
  const still = Array.from(open, ([vm, span]) => ({vm, to: Infinity, ...span}));
  return [...spans, ...still];
}

function openSpan(
  signal: VmSignal,
  before: OpenSpan | undefined,
  at: RunTime,
): OpenSpan {
  const isPlanned =
    signal === 'SIGTERM' ||
    // A process that outlives its grace time is killed.
    (signal === 'SIGKILL' && before?.isPlanned === true);
  return {
    from: before?.from ?? at,
    isPlanned: isPlanned && before?.isPlanned !== false,
    isPause: signal === 'SIGSTOP',
  };
}

interface OpenLinkSpan {
  readonly span: LinkSpan;
  /** Faults of the same kind between the same VMs that are in force. */
  readonly faults: number;
}

/** Lists the times in which links had a fault; faults of a kind may overlap. */
export function listLinkSpans(
  events: readonly RecordedEvent[],
): readonly LinkSpan[] {
  const open = new Map<string, OpenLinkSpan>();
  const spans: LinkSpan[] = [];
  for (const event of events) {
    if (event.kind !== 'linkFaulted' && event.kind !== 'linkRestored') {
      continue;
    }
    const {from, to, fault, at} = event;
    const key = `${from} ${to} ${fault}`;
    const known = open.get(key);
    if (event.kind === 'linkFaulted') {
      const span = known?.span ?? {from, to, fault, start: at, end: Infinity};
      open.set(key, {span, faults: (known?.faults ?? 0) + 1});
    } else if (known !== undefined && known.faults > 1) {
      open.set(key, {...known, faults: known.faults - 1});
    } else if (known !== undefined) {
      open.delete(key);
      spans.push({...known.span, end: at});
    }
  }
  const still = Array.from(open.values(), ({span}) => span);
  return [...spans, ...still];
}
