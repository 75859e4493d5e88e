import type {EntryEffect} from '@gentianshunt/entryModel';
import {encodeEntryMessage} from '@gentianshunt/entryWire';
import {encodeFrame} from '@gentianshunt/frames';
import {
  createArrival,
  createConfigurationObjects,
  createContact,
  createVirtualEntries,
  TIERS,
} from '@gentianshunt/virtualEntry';
import type {SentMessage, VirtualEntries} from '@gentianshunt/virtualEntry';

const LEADER = 'entry-0';
const START_UP_MS = 2_500;
const ANNOUNCE_MS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** The load under which demand reporting is measured. */
export interface DemandReportingLoad {
  /** Number of entries, not counting the set leader. */
  readonly entries: number;
  readonly endpoints: number;
  readonly concurrency: number;
  readonly organisations: number;
  /** Requests a second at each entry. */
  readonly requestsPerSecond: number;
  readonly serviceMs: number;
  readonly durationMs: number;
}

/** What demand reporting costs an entry, and what it costs all entries. */
export interface DemandReportingCost {
  /** Demand reports of one entry. */
  readonly reportsPerSecond: number;
  /** Grant replies to one entry. */
  readonly repliesPerSecond: number;
  /** Bytes a second of one entry, in both directions. */
  readonly bytesPerSecond: number;
  /** Mean time from arrival to dispatch, in milliseconds. */
  readonly meanWaitMs: number;
  readonly dispatched: number;
  /** Processor time of all entries, as a fraction of the virtual time. */
  readonly processorShare: number;
}

interface Counts {
  reports: number;
  replies: number;
  bytes: number;
  dispatched: number;
  waitedMs: number;
}

/** Runs a load in virtual time and counts the messages between entries. */
export function measureDemandReporting(
  load: DemandReportingLoad,
): DemandReportingCost {
  const nodes = Array.from(
    {length: load.entries + 1},
    (_, index) => `entry-${index}`,
  );
  const counts = createCounts();
  const entries = createVirtualEntries({
    nodes,
    objects: createConfigurationObjects({
      organisations: load.organisations,
      leader: LEADER,
    }),
    deliver: sent => {
      countMessage(counts, sent);
      return [1];
    },
    onEffect: (node, effect) =>
      processEffect(entries, load, counts, node, effect),
  });
  announceEndpoints(entries, load);
  entries.time.advance(START_UP_MS);
  runLoad(entries, load, nodes.slice(1), START_UP_MS);
  Object.assign(counts, createCounts());
  const before = process.cpuUsage();
  runLoad(entries, load, nodes.slice(1), load.durationMs);
  return computeCost(load, counts, process.cpuUsage(before));
}

function createCounts(): Counts {
  return {reports: 0, replies: 0, bytes: 0, dispatched: 0, waitedMs: 0};
}

function countMessage(counts: Counts, sent: SentMessage): void {
  const body = encodeEntryMessage(sent.message);
  counts.bytes += encodeFrame({kind: 'message', body}).length;
  counts.reports += sent.message.kind === 'demandReport' ? 1 : 0;
  counts.replies += sent.message.kind === 'grantReply' ? 1 : 0;
}

function processEffect(
  entries: VirtualEntries,
  load: DemandReportingLoad,
  counts: Counts,
  node: string,
  effect: EntryEffect,
): void {
  if (effect.kind !== 'openStream') {
    return;
  }
  const {clock} = entries.time;
  counts.dispatched += 1;
  counts.waitedMs += clock.readMonotonic() - effect.request.arrivedAt;
  const dispatch = effect.dispatch.id;
  entries.time.schedule(load.serviceMs, () =>
    entries.find(node).post({
      kind: 'streamEnded',
      dispatch,
      end: {kind: 'complete'},
      stored: null,
    }),
  );
}

function announceEndpoints(
  entries: VirtualEntries,
  load: DemandReportingLoad,
): void {
  const {concurrency} = load;
  for (let index = 0; index < load.endpoints; index += 1) {
    entries.find(LEADER).post(createContact({index, concurrency}));
  }
  entries.time.schedule(ANNOUNCE_MS, () => announceEndpoints(entries, load));
}

/** Requests sent so far, over all loads; gives each request its own index. */
let arrivalCount = 0;

/** Sends requests, spaced evenly over time, entries and organisations. */
function runLoad(
  entries: VirtualEntries,
  load: DemandReportingLoad,
  nodes: readonly string[],
  durationMs: number,
): void {
  const intervalMs =
    MILLISECONDS_PER_SECOND / (load.requestsPerSecond * nodes.length);
  const total = Math.floor(durationMs / intervalMs);
  for (let sent = 0; sent < total; sent += 1) {
    const index = arrivalCount;
    arrivalCount += 1;
    entries.find(nodes[index % nodes.length]!).post(
      createArrival({
        index,
        organisation: Math.floor(index / nodes.length) % load.organisations,
        tier: Math.floor(index / 7) % TIERS.length,
      }),
    );
    entries.time.advance(intervalMs);
  }
}

function computeCost(
  load: DemandReportingLoad,
  counts: Counts,
  used: NodeJS.CpuUsage,
): DemandReportingCost {
  const seconds = load.durationMs / MILLISECONDS_PER_SECOND;
  const perEntry = (count: number): number => count / seconds / load.entries;
  return {
    reportsPerSecond: perEntry(counts.reports),
    repliesPerSecond: perEntry(counts.replies),
    bytesPerSecond: perEntry(counts.bytes),
    meanWaitMs: counts.waitedMs / Math.max(1, counts.dispatched),
    dispatched: counts.dispatched,
    processorShare: (used.user + used.system) / 1_000 / load.durationMs,
  };
}
