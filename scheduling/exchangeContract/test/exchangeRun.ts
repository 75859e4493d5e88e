import {hashToFraction} from '@gentianshunt/hashing';
import type {EntryOrder} from '@gentianshunt/entryModel';
import type {DispatchId} from '@gentianshunt/identifiers';
import {
  createArrival,
  createBenchObjects,
  createContact,
  createVirtualEntries,
} from '@gentianshunt/virtualEntry';
import type {SentMessage, VirtualEntries} from '@gentianshunt/virtualEntry';

export const NODES = ['entry-0', 'entry-1', 'entry-2'] as const;
export const CONCURRENCY = 3;
const ENDPOINTS = 2;
const SERVICE_MS = 150;
const ANNOUNCE_MS = 500;

/** Gives the delays of a message; `draw` gives numbers from 0 up to 1. */
export type MessageFault = (
  sent: SentMessage,
  draw: () => number,
) => readonly number[];

/** A run and what it has shown so far. */
export interface ExchangeRun {
  readonly entries: VirtualEntries;
  readonly sent: SentMessage[];
  /** When each request was dispatched, in milliseconds. */
  readonly dispatchedAt: Map<string, number>;
  readonly repeated: string[];
  /** Most requests that ran at one endpoint at once. */
  peak: number;
  fault: MessageFault;
  arrive(node: string, tier?: number): void;
  setAnnouncing(isAnnouncing: boolean): void;
}

/** Creates entries with two announcing endpoints, the first entry leading. */
export function createRun(seed: number): ExchangeRun {
  let draws = 0;
  let arrivals = 0;
  let isAnnouncing = true;
  const runningAt = new Map<string, number>();
  const draw = (): number => hashToFraction(`${seed}/${(draws += 1)}`);
  const entries = createVirtualEntries({
    nodes: NODES,
    objects: createBenchObjects({organisations: 2, leader: NODES[0]}),
    deliver: message => {
      run.sent.push(message);
      return run.fault(message, draw);
    },
    onOrder: (node, order) => follow(run, runningAt, node, order),
  });
  const run: ExchangeRun = {
    entries,
    sent: [],
    dispatchedAt: new Map(),
    repeated: [],
    peak: 0,
    fault: () => [1],
    arrive: (node, tier = 0) => {
      const index = arrivals;
      arrivals += 1;
      entries
        .find(node)
        .post(createArrival({index, organisation: index % 2, tier}));
    },
    setAnnouncing: value => {
      isAnnouncing = value;
    },
  };
  const announce = (): void => {
    for (let index = 0; isAnnouncing && index < ENDPOINTS; index += 1) {
      for (const node of NODES) {
        const contact = createContact({index, concurrency: CONCURRENCY});
        entries.find(node).post(contact);
      }
    }
    entries.time.schedule(ANNOUNCE_MS, announce);
  };
  announce();
  return run;
}

function follow(
  run: ExchangeRun,
  runningAt: Map<string, number>,
  node: string,
  order: EntryOrder,
): void {
  if (order.kind !== 'openStream') {
    return;
  }
  const {request, dispatch} = order;
  if (run.dispatchedAt.has(request.id)) {
    run.repeated.push(request.id);
  }
  const {clock} = run.entries.time;
  run.dispatchedAt.set(request.id, clock.readMonotonic());
  const {endpoint} = dispatch.target;
  const running = (runningAt.get(endpoint) ?? 0) + 1;
  runningAt.set(endpoint, running);
  run.peak = Math.max(run.peak, running);
  run.entries.time.schedule(SERVICE_MS, () => {
    runningAt.set(endpoint, runningAt.get(endpoint)! - 1);
    endStream(run, node, dispatch.id);
  });
}

function endStream(run: ExchangeRun, node: string, dispatch: DispatchId): void {
  run.entries.find(node).post({
    kind: 'streamEnded',
    dispatch,
    end: {kind: 'complete'},
    stored: null,
  });
}

/** Adds arrivals at an even pace and lets the time pass. */
export function runArrivals(
  run: ExchangeRun,
  durationMs: number,
  intervalMs: number,
): void {
  for (let elapsed = 0; elapsed < durationMs; elapsed += intervalMs) {
    run.arrive(NODES[(elapsed / intervalMs) % NODES.length]!);
    run.entries.time.advance(intervalMs);
  }
}
