/** A set some of whose entries are cut off from its endpoints. */
import type {
  AdmittedRequest,
  Dispatch,
  EntryEffect,
  Relay,
  RequestAttributes,
  StreamEnd,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {EndpointId} from '@gentianshunt/identifiers';
import {
  createArrival,
  createConfigurationObjects,
  createContact,
  createVirtualEntries,
} from '@gentianshunt/virtualEntry';

import {CALL_POLICY, readIndex} from './calledSet.js';

const ANNOUNCE_MS = 1_000;
const START_UP_MS = 2_500;
const CONNECT_MS = 1;
const CONNECT_TIMEOUT_MS = 500;
const FIRST_BYTE_MS = 20;
const SERVICE_MS = 100;
const CONCURRENCY = 8;
const LEADER = 0;
/** Requests that find an idle connection which hangs, of each entry and endpoint. */
const IDLE_CONNECTIONS = 2;

/** How a connection from an entry to an endpoint fares. */
export type Path = 'open' | 'hangs' | 'refuses' | 'resets';

/** Options of a set. */
export interface CutOffOptions {
  readonly entries: number;
  readonly endpoints: number;
  /** Requests of each entry in a second. */
  readonly requestsPerSecond: number;
  readonly isIdempotent?: boolean;
  /** Returns how connections from an entry to an endpoint fare at a time. */
  readonly readPath: (entry: number, endpoint: number, at: number) => Path;
}

/** What callers got at the entries. */
export interface CallerCounts {
  asked: number;
  served: number;
}

/** A started set, and what was observed of it. */
export interface CutOffSet {
  /** By entry, what its callers got since `clear`. */
  readonly callers: readonly CallerCounts[];
  /** How often endpoints were sent requests since `clear`, also in vain. */
  readonly sent: Map<number, number>;
  /** How often each request ran. */
  readonly runs: Map<string, number>;
  readonly relayed: number;
  /** Connections that entries opened to see whether they reach an endpoint. */
  readonly probes: number;
  readNow(): number;
  /** Lists the entries that say of themselves that they are isolated. */
  listIsolated(): readonly number[];
  clear(): void;
  run(durationMs: number): void;
  /** Lets the requests that are under way end. */
  settle(durationMs: number): void;
}

/** Starts the entries and announces the endpoints. */
export function createCutOffSet(options: CutOffOptions): CutOffSet {
  const nodes = Array.from(
    {length: options.entries},
    (_, index) => `entry-${index}`,
  );
  const callers = nodes.map((): CallerCounts => ({asked: 0, served: 0}));
  const sent = new Map<number, number>();
  const runs = new Map<string, number>();
  const idle = new Map<string, number>();
  /** The entry whose caller sent a request, and its handover if there is one. */
  const origins = new Map<string, {entry: number; relay: Relay | null}>();
  const attributes = new Map<string, RequestAttributes>();
  let relayed = 0;
  let probes = 0;
  let arrivals = 0;
  const entries = createVirtualEntries({
    nodes,
    leaderSilence: {kind: 'useFallbackCapacity'},
    objects: createConfigurationObjects({
      organisations: 1,
      leader: nodes[LEADER]!,
    }),
    onEffect: (node, effect) => handleEffect(readIndex(node), effect),
  });
  const {time} = entries;
  const readPath = (entry: number, endpoint: EndpointId) =>
    options.readPath(entry, readIndex(endpoint), time.clock.readMonotonic());
  const end = (entry: number, dispatch: Dispatch, reason: StreamEnd): void =>
    entries.find(nodes[entry]!).post({
      kind: 'streamEnded',
      dispatch: dispatch.id,
      end: reason,
      stored: null,
    });
  const run = (entry: number, {id}: AdmittedRequest, dispatch: Dispatch) => {
    runs.set(id, (runs.get(id) ?? 0) + 1);
    time.schedule(FIRST_BYTE_MS, () =>
      entries
        .find(nodes[entry]!)
        .post({kind: 'streamStarted', dispatch: dispatch.id}),
    );
    time.schedule(SERVICE_MS, () => end(entry, dispatch, {kind: 'complete'}));
  };
  const openStream = (
    entry: number,
    request: AdmittedRequest,
    dispatch: Dispatch,
  ): void => {
    const {endpoint} = dispatch.target;
    const index = readIndex(endpoint);
    sent.set(index, (sent.get(index) ?? 0) + 1);
    const path = readPath(entry, endpoint);
    switch (path) {
      case 'open':
        run(entry, request, dispatch);
        return;
      case 'hangs': {
        const key = `${entry}/${endpoint}`;
        const used = idle.get(key) ?? 0;
        idle.set(key, used + 1);
        if (used >= IDLE_CONNECTIONS) {
          const reason = {kind: 'notSent', detail: 'timeout'} as const;
          time.schedule(CONNECT_TIMEOUT_MS, () => end(entry, dispatch, reason));
        }
        return;
      }
      case 'refuses':
      case 'resets': {
        const reason = {kind: 'notSent', detail: path} as const;
        time.schedule(CONNECT_MS, () => end(entry, dispatch, reason));
        return;
      }
      default:
        assertNever(path, 'openStream');
    }
  };
  const answerRelay = (request: string, isServed: boolean): void => {
    const origin = origins.get(request);
    if (origin?.relay === null || origin === undefined) {
      return;
    }
    callers[origin.entry]!.served += isServed ? 1 : 0;
    entries.find(nodes[origin.entry]!).post({
      kind: 'relayEnded',
      request: toIdentifier(request),
      relay: origin.relay.id,
      end: {kind: 'complete'},
    });
  };
  const handleEffect = (entry: number, effect: EntryEffect): void => {
    switch (effect.kind) {
      case 'openStream':
        openStream(entry, effect.request, effect.dispatch);
        return;
      case 'probeEndpoint': {
        probes += 1;
        const {endpoint} = effect.target;
        const path = readPath(entry, endpoint);
        const delayMs = path === 'hangs' ? CONNECT_TIMEOUT_MS : CONNECT_MS;
        const isReached = path === 'open';
        time.schedule(delayMs, () =>
          entries
            .find(nodes[entry]!)
            .post({kind: 'endpointProbed', endpoint, isReached}),
        );
        return;
      }
      case 'relayCall': {
        relayed += 1;
        const {request, relay} = effect;
        origins.set(request.id, {entry, relay});
        time.schedule(CONNECT_MS, () =>
          entries.find(relay.to).post({
            kind: 'requestReceived',
            attributes: {...attributes.get(request.id)!, isRelayed: true},
          }),
        );
        return;
      }
      case 'recordEnd': {
        const {id, isRelayed} = effect.request;
        const isServed = effect.end.kind === 'answered';
        const origin = origins.get(id);
        if (isRelayed === true) {
          answerRelay(id, isServed);
        } else if (isServed && origin?.relay === null) {
          callers[origin.entry]!.served += 1;
        }
        return;
      }
      default:
    }
  };
  const arrive = (entry: number): void => {
    const index = arrivals;
    arrivals += 1;
    callers[entry]!.asked += 1;
    origins.set(`request-${index}`, {entry, relay: null});
    const arrival = createArrival({index});
    if (arrival.kind === 'requestReceived') {
      const asked = {...arrival.attributes, routePolicy: CALL_POLICY};
      attributes.set(asked.id, asked);
      entries.find(nodes[entry]!).post({...arrival, attributes: asked});
    }
  };
  const announce = (): void => {
    for (let index = 0; index < options.endpoints; index += 1) {
      entries
        .find(nodes[LEADER]!)
        .post(createContact({index, concurrency: CONCURRENCY}));
    }
    time.schedule(ANNOUNCE_MS, announce);
  };
  announce();
  time.advance(START_UP_MS);
  return {
    callers,
    sent,
    runs,
    get relayed() {
      return relayed;
    },
    get probes() {
      return probes;
    },
    readNow: time.clock.readMonotonic,
    settle: time.advance,
    listIsolated: () =>
      nodes.flatMap((node, index) =>
        entries.find(node).entry.view.reach.kind === 'isolated' ? [index] : [],
      ),
    clear: () => {
      callers.forEach(counts => {
        counts.asked = 0;
        counts.served = 0;
      });
      sent.clear();
      probes = 0;
    },
    run: durationMs => {
      const perSecond = options.requestsPerSecond * options.entries;
      const intervalMs = 1_000 / perSecond;
      for (let elapsed = 0; elapsed < durationMs; elapsed += intervalMs) {
        arrive(arrivals % options.entries);
        time.advance(intervalMs);
      }
    },
  };
}
