/** A set whose endpoints fail when they have to turn many requests away. */
import type {EndpointService} from '@gentianshunt/configuration';
import {NO_SIGNALS} from '@gentianshunt/entryModel';
import type {Dispatch, EntryEffect, StreamEnd} from '@gentianshunt/entryModel';
import {hashToFraction} from '@gentianshunt/hashing';
import {toIdentifier} from '@gentianshunt/identifiers';
import {
  createArrival,
  createConfigurationObjects,
  createContact,
  createVirtualEntries,
} from '@gentianshunt/virtualEntry';
import type {VirtualEntries} from '@gentianshunt/virtualEntry';

import {CALL_POLICY, readIndex} from './calledSet.js';

const ANNOUNCE_MS = 1_000;
const START_UP_MS = 2_500;
const TRANSIT_MS = 2;
const SERVICE_MS = 120;
const CONCURRENCY = 6;
/** Requests that an endpoint lets wait while it need not save room. */
const USUAL_ROOM = 24;
const DOWN_MS = 3_000;
const WINDOW_MS = 1_000;
export const LEADER = 'entry-0';

/** Options of a set. */
export interface BrittleOptions {
  readonly entries: number;
  readonly endpoints: number;
  readonly service: EndpointService;
  /** Requests that arrive, relative to what the endpoints process. */
  readonly load: number;
  /** Requests that an endpoint may turn away in a second. */
  readonly rejectionsPerSecond: number;
}

/** A started set, and what was observed of it. */
export interface BrittleSet {
  readonly entries: VirtualEntries;
  /** How often endpoints fell over. */
  readonly falls: number;
  readonly served: number;
  readonly asked: number;
  /** From when on endpoints say that they are brittle, and let none wait. */
  setBrittle(saidAt: number, noRoomAt: number): void;
  readNow(): number;
  run(durationMs: number): void;
}

interface Endpoint {
  running: number;
  downUntil: number;
  rejectedAt: number[];
}

/** Starts the entries and announces the endpoints. */
export function createBrittleSet(options: BrittleOptions): BrittleSet {
  const nodes = Array.from(
    {length: options.entries},
    (_, index) => `entry-${index}`,
  );
  const endpoints = Array.from({length: options.endpoints}, (): Endpoint => ({
    running: 0,
    downUntil: 0,
    rejectedAt: [],
  }));
  let saidFrom = Number.POSITIVE_INFINITY;
  let noRoomFrom = Number.POSITIVE_INFINITY;
  let falls = 0;
  let served = 0;
  let asked = 0;
  const {service} = options;
  const entries = createVirtualEntries({
    nodes,
    leaderSilence: {kind: 'useFallbackCapacity'},
    objects: createConfigurationObjects({
      organisations: 1,
      leader: LEADER,
      service,
    }),
    onEffect: (node, effect) => handleEffect(node, effect),
  });
  const {time} = entries;
  const now = time.clock.readMonotonic;
  const end = (node: string, dispatch: Dispatch, reason: StreamEnd): void =>
    entries.find(node).post({
      kind: 'streamEnded',
      dispatch: dispatch.id,
      end: reason,
      stored: null,
    });
  const signal = (
    node: string,
    {target: {endpoint}}: Dispatch,
    isRejection: boolean,
  ): void => {
    if (now() >= saidFrom) {
      const {rejectionsPerSecond} = options;
      entries.find(node).post({
        kind: 'endpointSignalled',
        set: toIdentifier('drafts'),
        endpoint,
        signals: {...NO_SIGNALS, rejectionsPerSecond, isRejection},
      });
    }
  };
  const reject = (node: string, dispatch: Dispatch, to: Endpoint): void => {
    to.rejectedAt = [
      ...to.rejectedAt.filter(at => now() - at < WINDOW_MS),
      now(),
    ];
    if (
      now() >= noRoomFrom &&
      to.rejectedAt.length > options.rejectionsPerSecond
    ) {
      falls += 1;
      to.downUntil = now() + DOWN_MS;
      to.rejectedAt = [];
    }
    signal(node, dispatch, true);
    end(node, dispatch, {kind: 'notExecuted', detail: 'status 503'});
  };
  const receive = (node: string, dispatch: Dispatch): void => {
    const to = endpoints[readIndex(dispatch.target.endpoint)]!;
    if (now() < to.downUntil) {
      end(node, dispatch, {kind: 'notSent', detail: 'ECONNREFUSED'});
      return;
    }
    const room = now() >= noRoomFrom ? 0 : USUAL_ROOM;
    if (to.running >= CONCURRENCY + room) {
      reject(node, dispatch, to);
      return;
    }
    to.running += 1;
    const waiting = Math.max(0, to.running - CONCURRENCY);
    const spread = 0.5 + hashToFraction(dispatch.id);
    const durationMs = SERVICE_MS * (spread + waiting / CONCURRENCY);
    time.schedule(durationMs, () => {
      to.running -= 1;
      signal(node, dispatch, false);
      end(node, dispatch, {kind: 'complete'});
    });
  };
  const handleEffect = (node: string, effect: EntryEffect): void => {
    if (effect.kind === 'openStream') {
      time.schedule(TRANSIT_MS, () => receive(node, effect.dispatch));
    }
    if (effect.kind === 'probeEndpoint') {
      const {endpoint} = effect.target;
      const isReached = now() >= endpoints[readIndex(endpoint)]!.downUntil;
      time.schedule(TRANSIT_MS, () =>
        entries.find(node).post({kind: 'endpointProbed', endpoint, isReached}),
      );
    }
    if (effect.kind === 'recordEnd' && effect.end.kind === 'answered') {
      served += 1;
    }
  };
  const announce = (): void => {
    for (const node of [LEADER, nodes[1]!]) {
      endpoints.forEach((_, index) =>
        entries
          .find(node)
          .post(createContact({index, concurrency: CONCURRENCY})),
      );
    }
    time.schedule(ANNOUNCE_MS, announce);
  };
  const arrive = (): void => {
    const index = asked;
    asked += 1;
    const arrival = createArrival({index});
    if (arrival.kind === 'requestReceived') {
      const attributes = {...arrival.attributes, routePolicy: CALL_POLICY};
      entries.find(nodes[index % nodes.length]!).post({...arrival, attributes});
    }
  };
  announce();
  time.advance(START_UP_MS);
  return {
    entries,
    get falls() {
      return falls;
    },
    get served() {
      return served;
    },
    get asked() {
      return asked;
    },
    setBrittle: (saidAt, noRoomAt) => {
      saidFrom = saidAt;
      noRoomFrom = noRoomAt;
    },
    readNow: now,
    run: durationMs => {
      const capacity = (options.endpoints * CONCURRENCY) / SERVICE_MS;
      const intervalMs = 1 / (options.load * capacity);
      for (let elapsed = 0; elapsed < durationMs; elapsed += intervalMs) {
        arrive();
        time.advance(intervalMs);
      }
    },
  };
}
