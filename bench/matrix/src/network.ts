import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';

import type {FakeProcess} from './fakeProcess.js';
import type {Scheduler} from './scheduler.js';

/** Time that a message takes to arrive. */
export const LATENCY_MS: Milliseconds = 1;

/** A message, or a segment of a stream, on its way between processes. */
export interface Transmission {
  /** A `stream` models TCP: ordered, and lossless unless it breaks. */
  readonly kind: 'message' | 'stream';
  readonly from: FakeProcess;
  readonly to: FakeProcess;
  readonly deliver: () => void;
  /** Called when the transmission is lost or its receiver has failed. */
  readonly onBroken?: () => void;
}

/** A fault applied to the next message that a process sends. */
export type MessageFault =
  | {readonly kind: 'lost'}
  | {readonly kind: 'duplicated'}
  | {readonly kind: 'delayed'; readonly delayMs: Milliseconds};

/** Transports messages between simulated processes. */
export interface Network {
  send(transmission: Transmission): void;
  /** Applies a fault to the next message that a process sends. */
  injectMessageFault(from: string, fault: MessageFault): void;
  /** Blocks what a process sends, or also what is sent to it, until healed. */
  partition(process: string, direction: 'outbound' | 'both'): void;
  /** Ends all partitions and sends the stream segments that they blocked. */
  heal(): void;
}

/** Creates a network without faults. */
export function createNetwork(scheduler: Scheduler): Network {
  const faults = new Map<string, MessageFault>();
  const blockedSenders = new Set<string>();
  const blockedReceivers = new Set<string>();
  const retainedStreams: Transmission[] = [];
  /** By process: the time before which none of its stream segments arrives. */
  const stalledUntil = new Map<string, MonotonicTime>();
  const deliver = (transmission: Transmission, delayMs: Milliseconds): void => {
    const {to} = transmission;
    const {incarnation} = to;
    scheduler.schedule(delayMs, () => {
      if (to.isAlive && to.incarnation === incarnation) {
        to.run(transmission.deliver);
      } else {
        transmission.onBroken?.();
      }
    });
  };
  const computeStallMs = ({kind, from}: Transmission): Milliseconds => {
    const until = kind === 'stream' ? (stalledUntil.get(from.id) ?? 0) : 0;
    return Math.max(0, until - scheduler.clock.readMonotonic());
  };
  const send = (transmission: Transmission): void => {
    const {kind, from, to} = transmission;
    const fault = faults.get(from.id);
    faults.delete(from.id);
    if (blockedSenders.has(from.id) || blockedReceivers.has(to.id)) {
      if (kind === 'stream') {
        retainedStreams.push(transmission);
      }
      return;
    }
    if (fault?.kind === 'lost') {
      transmission.onBroken?.();
      return;
    }
    const delayMs = fault?.kind === 'delayed' ? fault.delayMs : 0;
    deliver(
      transmission,
      LATENCY_MS + Math.max(delayMs, computeStallMs(transmission)),
    );
    if (kind === 'stream' && delayMs > 0) {
      const until = scheduler.clock.readMonotonic() + delayMs;
      stalledUntil.set(from.id, until);
    }
    if (fault?.kind === 'duplicated' && kind === 'message') {
      deliver(transmission, 2 * LATENCY_MS);
    }
  };
  return {
    send,
    injectMessageFault: (from, fault) => faults.set(from, fault),
    partition: (process, direction) => {
      blockedSenders.add(process);
      if (direction === 'both') {
        blockedReceivers.add(process);
      }
    },
    heal: () => {
      blockedSenders.clear();
      blockedReceivers.clear();
      retainedStreams.splice(0).forEach(send);
    },
  };
}
