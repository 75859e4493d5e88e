import {createManualClock} from '@gentianshunt/clock';
import type {ManualClock, MonotonicTime} from '@gentianshunt/clock';
import type {ConfigurationObject} from '@gentianshunt/configuration';
import type {
  EntryObservation,
  EntryOrder,
  EntryTimer,
} from '@gentianshunt/entryModel';
import {createEntryNode} from '@gentianshunt/entryNode';
import type {EntryNode} from '@gentianshunt/entryNode';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {DirectoryEntry} from '@gentianshunt/messages';

/** The lease is renewed at every heartbeat, so it need not be long. */
const LEASE_MS = 3_000;

/** What an entry in virtual time needs. */
export interface EntryHarnessOptions {
  readonly node: string;
  readonly objects: readonly ConfigurationObject[];
  /** Nodes listed in the directory besides this one. */
  readonly peers?: readonly string[];
  /** Sees every order other than timers. */
  readonly onOrder: (order: EntryOrder) => void;
}

/** An entry with a manual clock, its timers and a fake control daemon. */
export interface EntryHarness {
  readonly entry: EntryNode;
  readonly clock: ManualClock;
  post(observation: EntryObservation): void;
  /** Moves the clock and runs the timers that fall due. */
  advance(durationMs: number): void;
}

/** Creates a serving entry that holds a configuration. */
export function createEntryHarness(options: EntryHarnessOptions): EntryHarness {
  const clock = createManualClock();
  const timers = new Map<string, DueTimer>();
  const deferred: EntryObservation[] = [];
  const perform = (order: EntryOrder): void => {
    switch (order.kind) {
      case 'setTimer': {
        const dueAt = clock.readMonotonic() + order.delayMs;
        timers.set(order.timer.kind, {timer: order.timer, dueAt});
        return;
      }
      case 'sendControl':
        if (order.message.kind === 'entryHeartbeat') {
          deferred.push(createUpdate(options, order.message.sequence));
        }
        return;
      case 'sendEntry':
        if (order.to === options.node) {
          entry.post({
            kind: 'entryMessage',
            from: order.to,
            message: order.message,
          });
        }
        break;
      default:
        break;
    }
    options.onOrder(order);
  };
  const entry = createEntryNode({
    identity: {
      address: createAddress(options.node).address,
      incarnation: toIdentifier('start-1'),
      controls: [toIdentifier('control-0')],
    },
    clock,
    perform,
  });
  const post = (observation: EntryObservation): void => {
    entry.post(observation);
    for (const update of deferred.splice(0)) {
      entry.post(update);
    }
  };
  post({kind: 'started'});
  return {
    entry,
    clock,
    post,
    advance: durationMs => advance(clock, timers, post, durationMs),
  };
}

interface DueTimer {
  readonly timer: EntryTimer;
  readonly dueAt: MonotonicTime;
}

function advance(
  clock: ManualClock,
  timers: Map<string, DueTimer>,
  post: (observation: EntryObservation) => void,
  durationMs: number,
): void {
  const until = clock.readMonotonic() + durationMs;
  for (;;) {
    const next = findNext(timers);
    if (next === undefined || next.dueAt > until) {
      break;
    }
    clock.advance(Math.max(0, next.dueAt - clock.readMonotonic()));
    timers.delete(next.timer.kind);
    post({kind: 'timerDue', timer: next.timer});
  }
  clock.advance(until - clock.readMonotonic());
}

function findNext(timers: ReadonlyMap<string, DueTimer>): DueTimer | undefined {
  let next: DueTimer | undefined;
  for (const timer of timers.values()) {
    if (next === undefined || timer.dueAt < next.dueAt) {
      next = timer;
    }
  }
  return next;
}

function createUpdate(
  options: EntryHarnessOptions,
  sequence: number,
): EntryObservation {
  const isFirst = sequence === 1;
  const nodes = [options.node, ...(options.peers ?? [])];
  return {
    kind: 'controlMessage',
    from: toIdentifier('control-0'),
    message: {
      kind: 'configurationUpdate',
      sequence,
      fromVersion: isFirst ? 0 : 1,
      version: 1,
      changes: isFirst
        ? options.objects.map(object => ({kind: 'put', object}))
        : [],
      directory: isFirst
        ? {version: 1, entries: nodes.map(createAddress)}
        : null,
      leaseMs: LEASE_MS,
    },
  };
}

/** Creates the directory's record of a node. */
export function createAddress(node: string): DirectoryEntry {
  return {
    address: {
      node: toIdentifier(node),
      domain: toIdentifier('a'),
      peer: {host: '127.0.0.1', port: 1},
      http: {host: '127.0.0.1', port: 2},
    },
    draining: false,
  };
}
