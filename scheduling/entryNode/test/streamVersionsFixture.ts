import {createManualClock} from '@gentianshunt/clock';
import type {Milliseconds} from '@gentianshunt/clock';
import {DEFAULT_SHARED_BOUNDS} from '@gentianshunt/entryModel';
import type {
  EndpointAnnouncement,
  EntryEffect,
  EntryMessage,
  EntryObservation,
  ResumedStream,
  SharedBounds,
} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {
  DispatchId,
  NodeId,
  SoftwareVersion,
} from '@gentianshunt/identifiers';

import {createEntryNode} from '../src/index.js';
import type {EntryNode} from '../src/index.js';
import {
  createAddress,
  createUpdate,
  formatNode,
  listObjects,
  readEntry,
  SET,
} from './entriesConfiguration.js';
import {createRequestAttributes} from './entryFixture.js';

const STEP_MS: Milliseconds = 5;
const HEARTBEAT_MS: Milliseconds = 500;
const ENDPOINT_CONCURRENCY = 8;
const CONTROL = toIdentifier<NodeId>('control-0');
/** An entry leaves the directory so long after the end of its process. */
const DIRECTORY_MS: Milliseconds = 3_000;

/** Bounds that let every broken stream go on. */
const UNBOUNDED: SharedBounds = {
  ...DEFAULT_SHARED_BOUNDS,
  repeatRatio: 1,
  repeatBurst: 1_000,
};

type OpenStream = Extract<EntryEffect, {readonly kind: 'openStream'}>;

/** An endpoint and the software that it runs. */
export interface FixtureEndpoint {
  readonly id: string;
  readonly software: string;
}

/** Entries of one set whose endpoints run software of several versions. */
export interface StreamVersionsFixture {
  /** Replaces the endpoints that send heartbeats. */
  setEndpoints(endpoints: readonly FixtureEndpoint[]): void;
  advance(durationMs: Milliseconds): void;
  /** A caller sends a request for a stream, or takes one up again. */
  send(entry: number, id: string, resumed?: ResumedStream): void;
  /** The first event of the latest dispatch of a request arrives. */
  startAnswer(id: string): void;
  /** Whether the caller has received an event of a request's answer. */
  hasBegun(id: string): boolean;
  /** The caller of a request disconnects. */
  leave(id: string): void;
  /** The connection to the endpoint breaks. */
  breakAnswer(id: string): void;
  /** The last event of the latest dispatch of a request arrives. */
  endAnswer(id: string): void;
  /** The software of the endpoints that a request was sent to, in order. */
  listSoftware(id: string): readonly (SoftwareVersion | undefined)[];
  /** The refusals of a request: the reason, and whether it surely did not run. */
  listRefusals(id: string): readonly string[];
  /** Ends the processes of entries and starts new ones. */
  restart(entries: readonly number[]): void;
  /** Loses the messages from and to an entry for a time. */
  loseMessages(entry: number, durationMs: Milliseconds): void;
  /** An entry stands still for a time, then handles what came meanwhile. */
  freeze(entry: number, durationMs: Milliseconds): void;
  /** Ends the process of an entry, until it is started again. */
  kill(entry: number): void;
  /** Starts a new process of an entry that was killed. */
  start(entry: number): void;
  /** An entry is asked to end when its streams have. */
  stop(entry: number): void;
  /** Assigns the set to another leader. */
  moveLeader(entry: number): void;
}

interface Delivery {
  readonly at: Milliseconds;
  readonly from: number;
  readonly to: number;
  readonly message: EntryMessage;
}

/** Creates entries with a lease and a configuration, led by the first one. */
export function createStreamVersionsFixture(
  count: number,
  latencyMs: Milliseconds = 0,
): StreamVersionsFixture {
  const clock = createManualClock();
  const opened: OpenStream[] = [];
  const refusals: {readonly id: string; readonly text: string}[] = [];
  const owners = new Map<string, number>();
  const ownerProcesses = new Map<string, number>();
  const begun = new Set<string>();
  const timers = new Map<string, Milliseconds>();
  const killedAt = new Map<number, Milliseconds>();
  let deliveries: Delivery[] = [];
  let endpoints: readonly FixtureEndpoint[] = [];
  let processes = 0;
  let lost = {entry: -1, until: 0};
  let frozen = {entry: -1, until: 0};
  let leader = 0;
  let epoch = 1;
  const now = (): Milliseconds => clock.readMonotonic();
  const perform = (entry: number, process: number, effect: EntryEffect) => {
    if (processOf[entry] !== process) {
      return;
    }
    switch (effect.kind) {
      case 'sendEntry': {
        const to = readEntry(effect.to);
        const at = now() + (to === entry ? 0 : latencyMs);
        deliveries.push({at, from: entry, to, message: effect.message});
        return;
      }
      case 'setTimer': {
        const name = JSON.stringify([entry, effect.timer]);
        timers.set(name, now() + effect.delayMs);
        return;
      }
      case 'openStream':
        opened.push(effect);
        return;
      case 'releaseAnswer':
        if (ownerProcesses.get(effect.request) === process) {
          begun.add(effect.request);
        }
        return;
      case 'refuseCaller': {
        const {request, reason, notRun} = effect.refusal;
        const text = `${reason.kind} ${notRun ? 'notRun' : 'mayHaveRun'}`;
        refusals.push({id: request, text});
        return;
      }
      default:
    }
  };
  const processOf: number[] = [];
  const createNode = (entry: number): EntryNode => {
    processes += 1;
    const process = processes;
    processOf[entry] = process;
    return createEntryNode({
      identity: {
        address: createAddress(entry),
        incarnation: toIdentifier(`i${process}`),
        controlNodes: [CONTROL],
        leaderSilence: {kind: 'useFallbackCapacity'},
        bounds: UNBOUNDED,
      },
      clock,
      perform: effect => perform(entry, process, effect),
    });
  };
  const nodes = Array.from({length: count}, (_, entry) => createNode(entry));
  const isRunning = (entry: number): boolean =>
    !killedAt.has(entry) && !(entry === frozen.entry && now() < frozen.until);
  const listRunning = (): readonly number[] =>
    nodes.map((_, entry) => entry).filter(isRunning);
  const listAbsent = (): ReadonlySet<number> =>
    new Set(
      [...killedAt]
        .filter(([, at]) => now() - at >= DIRECTORY_MS)
        .map(([entry]) => entry),
    );
  const runHeartbeat = (entry: number): void => {
    const node = nodes[entry]!;
    node.post({kind: 'timerDue', timer: {kind: 'heartbeat'}});
    node.post({
      kind: 'controlMessage',
      from: CONTROL,
      message: createUpdate(
        node,
        count,
        epoch,
        listObjects({count: 1, tokens: null}, leader, epoch),
        listAbsent(),
      ),
    });
    endpoints.forEach(endpoint => {
      node.post({
        kind: 'endpointContact',
        announcement: createAnnouncement(endpoint),
      });
    });
    node.post({kind: 'timerDue', timer: {kind: 'housekeeping'}});
  };
  const deliver = (): void => {
    for (;;) {
      const due = deliveries.filter(
        ({at, to}) => at <= now() && (isRunning(to) || killedAt.has(to)),
      );
      if (due.length === 0) {
        return;
      }
      deliveries = deliveries.filter(delivery => !due.includes(delivery));
      for (const {from, to, message} of due) {
        const isLost =
          now() < lost.until &&
          from !== to &&
          (from === lost.entry || to === lost.entry);
        if (!killedAt.has(to) && !isLost) {
          const sender = formatNode(from);
          nodes[to]!.post({kind: 'entryMessage', from: sender, message});
        }
      }
    }
  };
  const runTimers = (): void => {
    for (const [name, at] of [...timers]) {
      const [entry, timer] = JSON.parse(name) as [number, never];
      if (at <= now() && (isRunning(entry) || killedAt.has(entry))) {
        timers.delete(name);
        if (!killedAt.has(entry)) {
          nodes[entry]!.post({kind: 'timerDue', timer});
        }
      }
    }
  };
  /** Returns whether the process that received a request runs. */
  const isServed = (id: string): boolean => {
    const entry = owners.get(id);
    return (
      entry !== undefined &&
      isRunning(entry) &&
      processOf[entry] === ownerProcesses.get(id)
    );
  };
  const findLatest = (id: string): OpenStream | undefined =>
    opened.filter(({request}) => request.id === id).at(-1);
  const postStep = (
    id: string,
    create: (dispatch: DispatchId) => EntryObservation,
  ): void => {
    const latest = findLatest(id);
    if (latest !== undefined && isServed(id)) {
      nodes[owners.get(id)!]!.post(create(latest.dispatch.id));
    }
  };
  const start = (entry: number): void => {
    nodes[entry]!.post({kind: 'started'});
    runHeartbeat(entry);
  };
  const replace = (entry: number): void => {
    killedAt.delete(entry);
    [...timers.keys()]
      .filter(name => (JSON.parse(name) as [number])[0] === entry)
      .forEach(name => timers.delete(name));
    nodes[entry] = createNode(entry);
  };
  listRunning().forEach(start);
  let nextHeartbeatAt = now() + HEARTBEAT_MS;
  return {
    setEndpoints: next => {
      endpoints = next;
    },
    advance: durationMs => {
      const until = now() + durationMs;
      while (now() < until) {
        clock.advance(STEP_MS);
        deliver();
        runTimers();
        if (now() >= nextHeartbeatAt) {
          nextHeartbeatAt += HEARTBEAT_MS;
          listRunning().forEach(runHeartbeat);
        }
        deliver();
      }
    },
    send: (entry, id, resumed) => {
      if (!isRunning(entry)) {
        return;
      }
      owners.set(id, entry);
      ownerProcesses.set(id, processOf[entry]!);
      nodes[entry]!.post({
        kind: 'requestReceived',
        attributes: {
          ...createRequestAttributes(id),
          ...(resumed === undefined ? {} : {resumed}),
          routePolicy: {
            route: toIdentifier('r1'),
            maxAttempts: 8,
            timeLimitMs: 20_000,
            objectiveMs: 400,
            patienceMs: 15_000,
            isResumable: true,
            isStream: true,
            quotaTokens: 10,
          },
        },
      });
      deliver();
    },
    startAnswer: id =>
      postStep(id, dispatch => ({kind: 'streamStarted', dispatch})),
    hasBegun: id => begun.has(id),
    leave: id => {
      if (isServed(id)) {
        nodes[owners.get(id)!]!.post({
          kind: 'callerGone',
          request: toIdentifier(id),
        });
      }
    },
    breakAnswer: id =>
      postStep(id, dispatch => ({
        kind: 'streamEnded',
        dispatch,
        end: {kind: 'cut', detail: 'reset', events: 0, progress: 'delivering'},
        stored: null,
      })),
    endAnswer: id =>
      postStep(id, dispatch => ({
        kind: 'streamEnded',
        dispatch,
        end: {kind: 'complete'},
        stored: null,
      })),
    listSoftware: id =>
      opened
        .filter(({request}) => request.id === id)
        .map(({dispatch}) => dispatch.target.software),
    listRefusals: id =>
      refusals.filter(refusal => refusal.id === id).map(({text}) => text),
    restart: entries => {
      entries.forEach(replace);
      entries.forEach(start);
    },
    loseMessages: (entry, durationMs) => {
      lost = {entry, until: now() + durationMs};
    },
    freeze: (entry, durationMs) => {
      frozen = {entry, until: now() + durationMs};
    },
    kill: entry => {
      killedAt.set(entry, now());
    },
    start: entry => {
      replace(entry);
      start(entry);
    },
    stop: entry => nodes[entry]!.post({kind: 'shutdownRequested'}),
    moveLeader: entry => {
      leader = entry;
      epoch += 1;
    },
  };
}

function createAnnouncement({
  id,
  software,
}: FixtureEndpoint): EndpointAnnouncement {
  return {
    endpoint: toIdentifier(id),
    incarnation: toIdentifier(`${id}.1`),
    set: toIdentifier(SET),
    domain: toIdentifier('a'),
    url: `http://${id}`,
    concurrency: ENDPOINT_CONCURRENCY,
    checksFencing: false,
    load: null,
    leaving: false,
    software: toIdentifier(software),
  };
}
