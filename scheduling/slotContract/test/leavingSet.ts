/** A set whose endpoints leave while its entries are paused, killed or cut. */
import type {EntryEffect} from '@gentianshunt/entryModel';
import {hashToFraction} from '@gentianshunt/hashing';
import {
  createArrival,
  createConfigurationObjects,
  createContact,
  createVirtualEntries,
} from '@gentianshunt/virtualEntry';
import type {VirtualEntries, VirtualEntry} from '@gentianshunt/virtualEntry';

import type {
  AcknowledgedLeave,
  Disturbance,
  LeaveRecord,
  SentRequest,
} from './leaveChecker.js';

const ORGANISATIONS = 4;
const ANNOUNCE_MS = 500;
const START_UP_MS = 4_000;
const STEP_MS = 100;
const SERVICE_MS = 60;
const CONCURRENCY = 8;
const LINK_DELAY_MS = 1;

/** How an endpoint says that it leaves. */
export type LeaveKind = 'left' | 'draining';
/** What happens to an entry. */
export type FaultKind =
  /** Its process stands still; what is sent to it waits. */
  | 'pause'
  /** The same, and its links fail: what is sent to it is lost. */
  | 'pauseWithLoss'
  /** Its VM stands still, its monotonic clock too. */
  | 'suspend'
  | 'kill'
  /** What it sends to the other entries is lost. */
  | 'mute'
  /** What the other entries send to it is lost. */
  | 'deafen';

/** The size and load of a set. */
export interface LeavingSetOptions {
  readonly entries: number;
  readonly endpoints: number;
}

/** A started set under load. */
export interface LeavingSet {
  readonly record: LeaveRecord;
  readonly nodes: readonly string[];
  /** Lists the endpoints that have not left. */
  listActive(): readonly number[];
  /** Lets an endpoint leave; another one starts in its place. */
  leave(endpoint: number, entry: string, kind?: LeaveKind): void;
  /** Starts a fault that ends by itself. */
  disturb(entry: string, kind: FaultKind, durationMs: number): void;
  /** Loses what one entry sends to another. */
  cutLink(from: string, to: string, durationMs: number): void;
  moveLeader(entry: string): void;
  isRunning(entry: string): boolean;
  run(durationMs: number): void;
}

/** The changing parts of a set. */
interface SetState {
  readonly entries: VirtualEntries;
  readonly leaves: AcknowledgedLeave[];
  readonly requests: SentRequest[];
  readonly disturbances: Disturbance[];
  /** When requests were received, by their identifiers. */
  readonly receivedAt: Map<string, number>;
}

/** Creates entries and endpoints, and waits until requests are served. */
export function createLeavingSet(options: LeavingSetOptions): LeavingSet {
  const nodes = Array.from(
    {length: options.entries},
    (_, index) => `entry-${index}`,
  );
  const active = new Set(Array.from({length: options.endpoints}, (_, i) => i));
  const draining = new Map<number, string>();
  const stopped = new Set<string>();
  const deaf = new Set<string>();
  const mute = new Set<string>();
  const cut = new Set<string>();
  let leader = nodes[0]!;
  let arrivals = 0;
  let nextEndpoint = options.endpoints;
  const listObjects = (): ReturnType<typeof createConfigurationObjects> =>
    createConfigurationObjects({
      organisations: ORGANISATIONS,
      leader,
      service: {kind: 'plain', service: 'ledger'},
    });
  const entries: VirtualEntries = createVirtualEntries({
    nodes,
    objects: listObjects(),
    leaderSilence: {kind: 'useFallbackCapacity'},
    deliver: ({from, to}) =>
      mute.has(from) || deaf.has(to) || cut.has(`${from}/${to}`)
        ? []
        : [LINK_DELAY_MS],
    onEffect: (node, effect) => handleEffect(state, node, effect),
  });
  const state: SetState = {
    entries,
    leaves: [],
    requests: [],
    disturbances: [],
    receivedAt: new Map(),
  };
  const {time} = entries;
  const readNow = (): number => time.clock.readMonotonic();
  const announce = (index: number, leaving: boolean): void => {
    const entry = stopped.has(leader)
      ? nodes.find(node => !stopped.has(node))!
      : leader;
    entries
      .find(entry)
      .post(createContact({index, concurrency: CONCURRENCY, leaving}));
  };
  const announceAll = (): void => {
    active.forEach(index => announce(index, false));
    draining.forEach((_, index) => announce(index, true));
    time.schedule(ANNOUNCE_MS, announceAll);
  };
  const disturb: LeavingSet['disturb'] = (node, kind, durationMs) => {
    const entry = entries.find(node);
    const end = startFault(entry, node, kind, {stopped, deaf, mute});
    const from = readNow();
    state.disturbances.push({entry: node, from, until: from + durationMs});
    time.schedule(durationMs, end);
  };
  const set: LeavingSet = {
    record: state,
    nodes,
    listActive: () => [...active],
    leave: (index, node, kind = 'left') => {
      active.delete(index);
      active.add(nextEndpoint);
      nextEndpoint += 1;
      if (kind === 'draining') {
        draining.set(index, node);
      }
      reportLeave(state, node, index, kind);
    },
    disturb,
    cutLink: (from, to, durationMs) => {
      const link = `${from}/${to}`;
      cut.add(link);
      time.schedule(durationMs, () => cut.delete(link));
    },
    moveLeader: entry => {
      leader = entry;
      entries.publish(listObjects(), nodes);
    },
    isRunning: entry => !stopped.has(entry),
    run: durationMs => {
      for (let elapsed = 0; elapsed < durationMs; elapsed += STEP_MS) {
        for (const node of nodes) {
          const index = (arrivals += 1);
          state.receivedAt.set(`request-${index}`, readNow());
          const organisation = index % ORGANISATIONS;
          entries.find(node).post(createArrival({index, organisation}));
        }
        time.advance(STEP_MS);
      }
    },
  };
  announceAll();
  time.advance(START_UP_MS);
  return set;
}

/** The entries that faults act on at present. */
interface Faults {
  readonly stopped: Set<string>;
  readonly deaf: Set<string>;
  readonly mute: Set<string>;
}

/** Starts a fault; returns how it ends. */
function startFault(
  entry: VirtualEntry,
  node: string,
  kind: FaultKind,
  {stopped, deaf, mute}: Faults,
): () => void {
  switch (kind) {
    case 'mute':
    case 'deafen': {
      const affected = kind === 'mute' ? mute : deaf;
      affected.add(node);
      return () => affected.delete(node);
    }
    case 'kill':
      stopped.add(node);
      entry.kill();
      return () => {
        stopped.delete(node);
        entry.start();
      };
    case 'pause':
    case 'pauseWithLoss':
    case 'suspend':
      stopped.add(node);
      if (kind === 'suspend') {
        entry.suspend();
      } else {
        entry.freeze();
      }
      if (kind === 'pauseWithLoss') {
        deaf.add(node);
      }
      return () => {
        stopped.delete(node);
        deaf.delete(node);
        entry.resume();
      };
  }
}

function reportLeave(
  state: SetState,
  node: string,
  index: number,
  kind: LeaveKind,
): void {
  const contact = createContact({
    index,
    concurrency: CONCURRENCY,
    leaving: true,
  });
  const {endpoint} = contact.announcement;
  const {entry, post} = state.entries.find(node);
  post(kind === 'left' ? {kind: 'endpointLeft', endpoint} : contact);
  if (!entry.view.unconfirmedLeaves.has(endpoint)) {
    recordAcknowledgement(state, node, endpoint);
  }
}

function recordAcknowledgement(
  state: SetState,
  entry: string,
  endpoint: string,
): void {
  const at = state.entries.time.clock.readMonotonic();
  state.leaves.push({endpoint, entry, at});
}

/** Serves requests, and records what reaches the endpoints. */
function handleEffect(
  state: SetState,
  node: string,
  effect: EntryEffect,
): void {
  if (effect.kind === 'settleLeave' && effect.isConfirmed) {
    recordAcknowledgement(state, node, effect.endpoint);
  }
  if (effect.kind !== 'openStream') {
    return;
  }
  const {time} = state.entries;
  const {id: dispatch, target} = effect.dispatch;
  const sentAt = time.clock.readMonotonic();
  state.requests.push({
    endpoint: target.endpoint,
    entry: node,
    receivedAt: state.receivedAt.get(effect.request.id) ?? sentAt,
    sentAt,
  });
  const {entry} = state.entries.find(node);
  time.schedule(SERVICE_MS, () => {
    if (state.entries.find(node).entry === entry) {
      const end = {kind: 'complete'} as const;
      state.entries
        .find(node)
        .post({kind: 'streamEnded', dispatch, end, stored: null});
    }
  });
}

/** Draws fractions that depend on a seed only. */
export function createFractions(seed: number): () => number {
  let drawn = 0;
  return () => hashToFraction(`${seed}/${(drawn += 1)}`);
}
