import type {Milliseconds} from '@gentianshunt/clock';
import type {EntryController} from '@gentianshunt/entryModel';

import type {Attempt, Callers} from './caller.js';
import {createCallers} from './caller.js';
import {createControlHost} from './controlHost.js';
import type {ControlHost, ControlHostOptions} from './controlHost.js';
import {CONTROL_IDS, ENTRY_IDS} from './deploymentForm.js';
import {createEntryHost} from './entryHost.js';
import type {EntryHost, EntryHostOptions} from './entryHost.js';
import {createFakeEndpoint} from './fakeEndpoint.js';
import type {FakeEndpoint} from './fakeEndpoint.js';
import {createFakeProcess} from './fakeProcess.js';
import {createNetwork} from './network.js';
import type {Network} from './network.js';
import {createAnnouncement} from './objects.js';
import {createOperators} from './operators.js';
import type {Operators} from './operators.js';
import {createSchedule} from './schedule.js';
import type {Schedule} from './schedule.js';
import type {StepListener} from './steps.js';
import type {TraceEvent} from './trace.js';

const ANNOUNCE_INTERVAL_MS: Milliseconds = 500;

/** The endpoints of every cell and their sets. */
const ENDPOINTS = [
  {id: 'engine-0', set: 'drafts'},
  {id: 'engine-1', set: 'drafts'},
  {id: 'engine-2', set: 'drafts'},
  {id: 'registry-0', set: 'registry'},
] as const;

/** What a deployment is made of. */
export interface DeploymentOptions {
  readonly onStep: StepListener;
  /** Controllers of the entries, when they are not the usual ones. */
  readonly createControllers?: () => readonly EntryController[];
}

/** Everything that takes part in a cell. */
export interface Deployment {
  readonly schedule: Schedule;
  readonly network: Network;
  readonly controls: readonly ControlHost[];
  readonly entries: readonly EntryHost[];
  readonly endpoints: readonly FakeEndpoint[];
  readonly callers: Callers;
  readonly operators: Operators;
  readonly trace: readonly TraceEvent[];
  record(event: TraceEvent): void;
  start(): void;
  /** The endpoint announces from now on that it leaves. */
  leave(endpoint: string): void;
  /** Starts announcing again after a restart. */
  announce(endpoint: string): void;
}

interface Hosts {
  readonly controls: Map<string, ControlHost>;
  readonly entries: Map<string, EntryHost>;
  readonly endpoints: Map<string, FakeEndpoint>;
}

/** Creates a deployment in which nothing runs yet. */
export function createDeployment(options: DeploymentOptions): Deployment {
  const {onStep} = options;
  const schedule = createSchedule();
  const network = createNetwork(schedule);
  const trace: TraceEvent[] = [];
  const record = (event: TraceEvent): void => void trace.push(event);
  const hosts: Hosts = {
    controls: new Map(),
    entries: new Map(),
    endpoints: new Map(),
  };
  const readTime = (): number => schedule.clock.readMonotonic();
  const operators = createOperators({schedule, hosts, record, onStep});
  const common = {
    ...options,
    clock: schedule.clock,
    network,
    record,
    readTime,
  };
  const leaving = new Set<string>();
  for (const id of CONTROL_IDS) {
    hosts.controls.set(id, createControl(schedule, common, hosts, id));
  }
  for (const id of ENTRY_IDS) {
    const options = createEntryOptions(schedule, common, hosts, operators, id);
    hosts.entries.set(id, createEntryHost(options));
  }
  for (const {id} of ENDPOINTS) {
    const process = createFakeProcess(id, schedule);
    hosts.endpoints.set(id, createFakeEndpoint({...common, process}));
  }
  const announce = (id: string): void =>
    announceRegularly(common, hosts, id, leaving);
  return {
    schedule,
    network,
    controls: [...hosts.controls.values()],
    entries: [...hosts.entries.values()],
    endpoints: [...hosts.endpoints.values()],
    callers: createCallers({
      schedule,
      record,
      entrance: createEntrance(hosts, onStep),
    }),
    operators,
    trace,
    record,
    start: () => {
      hosts.controls.forEach(host => host.start());
      hosts.entries.forEach(host => host.start());
      hosts.endpoints.forEach(({process}) => announce(process.id));
    },
    leave: id => leaving.add(id),
    announce,
  };
}

type Common = Omit<EntryHostOptions, 'process' | 'peers'>;

function createControl(
  schedule: Schedule,
  {clock, network, onStep}: Common,
  hosts: Hosts,
  id: string,
): ControlHost {
  const process = createFakeProcess(id, schedule);
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
  schedule: Schedule,
  common: Common,
  hosts: Hosts,
  operators: Operators,
  id: string,
): EntryHostOptions {
  const process = createFakeProcess(id, schedule);
  const {network, onStep} = common;
  const from = process;
  const peers: EntryHostOptions['peers'] = {
    sendToEntry: (id, message) => {
      const to = hosts.entries.get(id)!;
      const deliver = (): void =>
        to.post({kind: 'entryMessage', from: from.id as never, message});
      if (to.process === from) {
        from.plan(0, deliver);
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
    answerOperator: order => operators.answer(order),
  };
  return {...common, process, peers};
}

function hasGrants(message: {
  readonly reply: {readonly grants: readonly unknown[]};
}): boolean {
  return message.reply.grants.length > 0;
}

/** Callers look the entries up and connect to the n-th of the answer. */
function createEntrance(
  hosts: Hosts,
  onStep: StepListener,
): Parameters<typeof createCallers>[0]['entrance'] {
  const chosen = new Map<string, EntryHost>();
  const entries = hosts.entries;
  const lookUp = (name: string, set: string): readonly EntryHost[] => {
    const asked = [...entries.values()].find(host => host.process.isAlive);
    if (asked === undefined) {
      return [];
    }
    onStep('lookedUp', {entry: asked.process, request: `${name}.0`});
    return asked.lookUp(set).map(id => entries.get(id)!);
  };
  return {
    connect: (choice, attempt: Attempt) => {
      const found = lookUp(
        attempt.plan.name,
        attempt.plan.key === null ? 'drafts' : 'registry',
      );
      const host = found[choice % Math.max(1, found.length)];
      if (host === undefined) {
        return false;
      }
      chosen.set(attempt.request, host);
      return host.connect(attempt);
    },
    hangUp: attempt => chosen.get(attempt.request)?.hangUp(attempt),
  };
}

/** An endpoint announces itself to an entry, and to another when it fails. */
function announceRegularly(
  {network, clock, record, onStep}: Common,
  hosts: Hosts,
  id: string,
  leaving: ReadonlySet<string>,
): void {
  const {process} = hosts.endpoints.get(id)!;
  const {set} = ENDPOINTS.find(endpoint => endpoint.id === id)!;
  let turn = Number(id.at(-1));
  const announce = (): void => {
    const isLeaving = leaving.has(id);
    const entries = [...hosts.entries.values()];
    const to = entries[turn % entries.length]!;
    turn += to.process.isAlive ? 0 : 1;
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
    process.plan(ANNOUNCE_INTERVAL_MS, announce);
  };
  announce();
}
