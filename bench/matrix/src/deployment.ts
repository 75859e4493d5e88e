import type {Milliseconds} from '@gentianshunt/clock';
import type {EntryController} from '@gentianshunt/entryModel';

import type {Attempt, Callers} from './caller.js';
import {createCallers} from './caller.js';
import {createControlHost} from './controlHost.js';
import type {ControlHost, ControlHostOptions} from './controlHost.js';
import {CONTROL_IDS, ENTRY_IDS} from './identities.js';
import {createEntryHost} from './entryHost.js';
import type {EntryHostOptions} from './entryHostState.js';
import type {EntryHost} from './entryHost.js';
import {createFakeEndpoint} from './fakeEndpoint.js';
import type {FakeEndpoint} from './fakeEndpoint.js';
import {createFakeProcess} from './fakeProcess.js';
import {createNetwork} from './network.js';
import type {Network} from './network.js';
import {createAnnouncement} from './objects.js';
import {createOperators} from './operators.js';
import type {Operators} from './operators.js';
import {createScheduler} from './scheduler.js';
import type {Scheduler} from './scheduler.js';
import type {StepListener} from './steps.js';
import type {TraceEvent} from './trace.js';

const ANNOUNCE_INTERVAL_MS: Milliseconds = 500;

/** The endpoints of every cell and their endpoint sets. */
const ENDPOINTS = [
  {id: 'engine-0', set: 'drafts'},
  {id: 'engine-1', set: 'drafts'},
  {id: 'engine-2', set: 'drafts'},
  {id: 'registry-0', set: 'registry'},
] as const;

/** Options of a simulated deployment. */
export interface DeploymentOptions {
  readonly onStep: StepListener;
  /** Creates the controllers of the entries instead of the usual ones. */
  readonly createControllers?: () => readonly EntryController[];
}

/** The simulated deployment that a cell runs on. */
export interface Deployment {
  readonly scheduler: Scheduler;
  readonly network: Network;
  readonly controls: readonly ControlHost[];
  readonly entries: readonly EntryHost[];
  readonly endpoints: readonly FakeEndpoint[];
  readonly callers: Callers;
  readonly operators: Operators;
  readonly trace: readonly TraceEvent[];
  record(event: TraceEvent): void;
  start(): void;
  /** Makes an endpoint announce from now on that it is leaving. */
  startLeaving(endpoint: string): void;
  /** Starts the announcements of an endpoint, again after a restart. */
  announce(endpoint: string): void;
}

interface Hosts {
  readonly controls: Map<string, ControlHost>;
  readonly entries: Map<string, EntryHost>;
  readonly endpoints: Map<string, FakeEndpoint>;
}

/** Creates a deployment that is not yet started. */
export function createDeployment(options: DeploymentOptions): Deployment {
  const {onStep} = options;
  const scheduler = createScheduler();
  const network = createNetwork(scheduler);
  const trace: TraceEvent[] = [];
  const record = (event: TraceEvent): void => void trace.push(event);
  const hosts: Hosts = {
    controls: new Map(),
    entries: new Map(),
    endpoints: new Map(),
  };
  const readTime = (): number => scheduler.clock.readMonotonic();
  const operators = createOperators({scheduler, hosts, record, onStep});
  const common = {
    ...options,
    clock: scheduler.clock,
    network,
    record,
    readTime,
  };
  const leaving = new Set<string>();
  for (const id of CONTROL_IDS) {
    hosts.controls.set(id, createControl(scheduler, common, hosts, id));
  }
  for (const id of ENTRY_IDS) {
    const options = createEntryOptions(scheduler, common, hosts, operators, id);
    hosts.entries.set(id, createEntryHost(options));
  }
  for (const {id} of ENDPOINTS) {
    const process = createFakeProcess(id, scheduler);
    hosts.endpoints.set(id, createFakeEndpoint({...common, process}));
  }
  const announce = (id: string): void =>
    announceRegularly(common, hosts, id, leaving);
  return {
    scheduler,
    network,
    controls: [...hosts.controls.values()],
    entries: [...hosts.entries.values()],
    endpoints: [...hosts.endpoints.values()],
    callers: createCallers({
      scheduler,
      record,
      connector: createEntryConnector(hosts, onStep),
    }),
    operators,
    trace,
    record,
    start: () => {
      hosts.controls.forEach(host => host.start());
      hosts.entries.forEach(host => host.start());
      hosts.endpoints.forEach(({process}) => announce(process.id));
    },
    startLeaving: id => leaving.add(id),
    announce,
  };
}

type CommonOptions = Omit<EntryHostOptions, 'process' | 'peers'>;

function createControl(
  scheduler: Scheduler,
  {clock, network, onStep}: CommonOptions,
  hosts: Hosts,
  id: string,
): ControlHost {
  const process = createFakeProcess(id, scheduler);
  const from = process;
  const peers: ControlHostOptions['peers'] = {
    sendToControl: (id, message, storage) => {
      const to = hosts.controls.get(id)!;
      network.send({
        kind: 'message',
        from,
        to: to.process,
        deliver: () => {
          if (storage.to === null || storage.to === to.storage) {
            to.post({
              kind: 'consensusMessage',
              from: from.id as never,
              storage: storage.from,
              message,
            });
          }
        },
      });
    },
    sendToEntry: (id, message) => {
      const to = hosts.entries.get(id)!;
      network.send({
        kind: 'message',
        from,
        to: to.process,
        deliver: () =>
          to.post({kind: 'controlMessage', from: from.id as never, message}),
      });
    },
  };
  return createControlHost({process, clock, peers, onStep});
}

function createEntryOptions(
  scheduler: Scheduler,
  common: CommonOptions,
  hosts: Hosts,
  operators: Operators,
  id: string,
): EntryHostOptions {
  const process = createFakeProcess(id, scheduler);
  const {network, onStep} = common;
  const from = process;
  const peers: EntryHostOptions['peers'] = {
    sendToEntry: (id, message) => {
      const to = hosts.entries.get(id)!;
      const deliver = (): void =>
        to.post({kind: 'entryMessage', from: from.id as never, message});
      if (to.process === from) {
        from.schedule(0, deliver);
        return;
      }
      if (message.kind === 'demandReport') {
        onStep('demandSent', {entry: from});
      } else if (message.kind === 'grantReply' && hasGrants(message)) {
        onStep('slotGranted', {entry: from});
      }
      network.send({kind: 'message', from, to: to.process, deliver});
    },
    sendToControl: (id, message) => {
      const to = hosts.controls.get(id)!;
      network.send({
        kind: 'message',
        from,
        to: to.process,
        deliver: () =>
          to.post({kind: 'entryMessage', from: from.id as never, message}),
      });
    },
    findEndpoint: id => hosts.endpoints.get(id)!,
    answerOperator: effect => operators.processAnswer(effect),
  };
  return {...common, process, peers};
}

function hasGrants(message: {
  readonly reply: {readonly grants: readonly unknown[]};
}): boolean {
  return message.reply.grants.length > 0;
}

/** Creates a connector that looks up the entries of a set for each attempt. */
function createEntryConnector(
  hosts: Hosts,
  onStep: StepListener,
): Parameters<typeof createCallers>[0]['connector'] {
  const hostByRequest = new Map<string, EntryHost>();
  const entries = hosts.entries;
  const lookUp = (name: string, set: string): readonly EntryHost[] => {
    const lookupHost = [...entries.values()].find(host => host.process.isAlive);
    if (lookupHost === undefined) {
      return [];
    }
    onStep('lookedUp', {entry: lookupHost.process, request: `${name}.0`});
    return lookupHost.lookUp(set).map(id => entries.get(id)!);
  };
  return {
    connect: (attemptNumber, attempt: Attempt) => {
      const found = lookUp(
        attempt.plan.name,
        attempt.plan.key === null ? 'drafts' : 'registry',
      );
      const host = found[attemptNumber % Math.max(1, found.length)];
      if (host === undefined) {
        return false;
      }
      hostByRequest.set(attempt.request, host);
      return host.connect(attempt);
    },
    disconnect: attempt =>
      hostByRequest.get(attempt.request)?.disconnect(attempt),
  };
}

/**
 * Announces an endpoint to an entry at intervals. If that entry has failed, the
 * next announcement goes to the next entry.
 */
function announceRegularly(
  {network, clock, record, onStep}: CommonOptions,
  hosts: Hosts,
  id: string,
  leaving: ReadonlySet<string>,
): void {
  const {process} = hosts.endpoints.get(id)!;
  const {set} = ENDPOINTS.find(endpoint => endpoint.id === id)!;
  let entryIndex = Number(id.at(-1));
  const announce = (): void => {
    const isLeaving = leaving.has(id);
    const entries = [...hosts.entries.values()];
    const to = entries[entryIndex % entries.length]!;
    entryIndex += to.process.isAlive ? 0 : 1;
    const announcement = createAnnouncement(process, set, isLeaving);
    const at = clock.readMonotonic();
    onStep('announced', {endpoint: process, entry: to.process});
    network.send({
      kind: 'message',
      from: process,
      to: to.process,
      deliver: () => {
        if (isLeaving) {
          record({at, kind: 'leaving', endpoint: id});
        }
        to.post({kind: 'endpointContact', announcement});
      },
    });
    process.schedule(ANNOUNCE_INTERVAL_MS, announce);
  };
  announce();
}
