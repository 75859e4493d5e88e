import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';

import type {FakeProcess} from './fakeProcess.js';
import type {Schedule} from './schedule.js';

/** Time of a message on its way. */
export const LATENCY_MS: Milliseconds = 1;

/** How a message travels. */
export interface Carriage {
  /** A stream keeps its order and loses nothing but the connection. */
  readonly kind: 'message' | 'stream';
  readonly from: FakeProcess;
  readonly to: FakeProcess;
  readonly deliver: () => void;
  /** Called at the sender and receiver of a stream that broke. */
  readonly onBroken?: () => void;
}

/** What becomes of the next message of a process. */
export type MessageFault =
  | {readonly kind: 'lost'}
  | {readonly kind: 'duplicated'}
  | {readonly kind: 'delayed'; readonly delayMs: Milliseconds};

/** Carries messages between processes. */
export interface Network {
  send(carriage: Carriage): void;
  /** Spoils the next message that a process sends. */
  spoilNext(from: string, fault: MessageFault): void;
  /** Cuts what leaves a process, or also what reaches it, until healed. */
  cut(process: string, direction: 'outbound' | 'both'): void;
  heal(): void;
}

/** Creates a network without faults. */
export function createNetwork(schedule: Schedule): Network {
  const faults = new Map<string, MessageFault>();
  const cutFrom = new Set<string>();
  const cutTo = new Set<string>();
  const held: Carriage[] = [];
  /** Before these instants nothing more of a process's streams arrives. */
  const stalledUntil = new Map<string, MonotonicTime>();
  const deliver = (carriage: Carriage, delayMs: Milliseconds): void => {
    const {to} = carriage;
    const {incarnation} = to;
    schedule.plan(delayMs, () => {
      if (to.isAlive && to.incarnation === incarnation) {
        to.run(carriage.deliver);
      } else {
        carriage.onBroken?.();
      }
    });
  };
  const readStall = ({kind, from}: Carriage): Milliseconds => {
    const until = kind === 'stream' ? (stalledUntil.get(from.id) ?? 0) : 0;
    return Math.max(0, until - schedule.clock.readMonotonic());
  };
  const send = (carriage: Carriage): void => {
    const {kind, from, to} = carriage;
    const fault = faults.get(from.id);
    faults.delete(from.id);
    if (cutFrom.has(from.id) || cutTo.has(to.id)) {
      if (kind === 'stream') {
        held.push(carriage);
      }
      return;
    }
    if (fault?.kind === 'lost') {
      carriage.onBroken?.();
      return;
    }
    const delayMs = fault?.kind === 'delayed' ? fault.delayMs : 0;
    deliver(carriage, LATENCY_MS + Math.max(delayMs, readStall(carriage)));
    if (kind === 'stream' && delayMs > 0) {
      const until = schedule.clock.readMonotonic() + delayMs;
      stalledUntil.set(from.id, until);
    }
    if (fault?.kind === 'duplicated' && kind === 'message') {
      deliver(carriage, 2 * LATENCY_MS);
    }
  };
  return {
    send,
    spoilNext: (from, fault) => faults.set(from, fault),
    cut: (process, direction) => {
      cutFrom.add(process);
      if (direction === 'both') {
        cutTo.add(process);
      }
    },
    heal: () => {
      cutFrom.clear();
      cutTo.clear();
      held.splice(0).forEach(send);
    },
  };
}
