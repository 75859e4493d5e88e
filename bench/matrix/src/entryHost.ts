import type {Clock} from '@gentianshunt/clock';
import {createEntryNode} from '@gentianshunt/entryNode';
import type {EntryNode} from '@gentianshunt/entryNode';
import type {
  Dispatch,
  EntryController,
  EntryEffect,
  EntryMessage,
  EntryObservation,
  StreamEnd,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {EntryToControl} from '@gentianshunt/messages';

import type {Attempt} from './caller.js';
import {formatTokens} from './caller.js';
import {createEntryIdentity} from './identities.js';
import type {FakeEndpoint, Reader} from './fakeEndpoint.js';
import type {FakeProcess} from './fakeProcess.js';
import type {Network, Transmission} from './network.js';
import {createRequestAttributes, readWeight} from './objects.js';
import type {StepListener} from './steps.js';
import type {TraceEvent} from './trace.js';

/** What a simulated entry sends to or calls: other nodes and endpoints. */
export interface EntryPeers {
  sendToEntry(to: string, message: EntryMessage): void;
  sendToControl(to: string, message: EntryToControl): void;
  findEndpoint(id: string): FakeEndpoint;
  answerOperator(
    effect: Extract<EntryEffect, {readonly kind: 'answerOperator'}>,
  ): void;
}

/** Options of a simulated entry. */
export interface EntryHostOptions {
  readonly process: FakeProcess;
  readonly clock: Clock;
  readonly network: Network;
  readonly peers: EntryPeers;
  readonly record: (event: TraceEvent) => void;
  readonly onStep: StepListener;
  /** Creates the controllers of the entry instead of the usual ones. */
  readonly createControllers?: () => readonly EntryController[];
}

/** An entry whose effects are executed in the simulation. */
export interface EntryHost {
  readonly process: FakeProcess;
  readonly node: EntryNode;
  post(observation: EntryObservation): void;
  /** Accepts a caller's connection; returns false if the entry is down. */
  connect(attempt: Attempt): boolean;
  disconnect(attempt: Attempt): void;
  /** Lists the entries that the lookup returns to callers of a set. */
  lookUp(set: string): readonly string[];
  /** Records the configuration that the entry uses. */
  sample(): void;
  start(): void;
  kill(): void;
}

interface HostState {
  node: EntryNode;
  /** Node names in the latest answer to a lookup. */
  addresses: readonly string[];
  readonly attempts: Map<string, Attempt>;
  readonly streams: Map<string, OpenStream>;
}

interface OpenStream {
  readonly attempt: Attempt;
  readonly received: string[];
}

/** Creates an entry that is not yet started. */
export function createEntryHost(options: EntryHostOptions): EntryHost {
  const {process, clock, record} = options;
  const state: HostState = {
    node: createNode(options, effect => perform(options, state, effect)),
    addresses: [],
    attempts: new Map(),
    streams: new Map(),
  };
  const post = (observation: EntryObservation): void =>
    process.run(() => state.node.post(observation));
  return {
    process,
    get node() {
      return state.node;
    },
    post,
    connect: attempt => acceptCall(options, state, attempt),
    disconnect: attempt => {
      state.attempts.delete(attempt.request);
      const request = toIdentifier<never>(attempt.request);
      post({kind: 'callerGone', request});
    },
    lookUp: set => {
      post({
        kind: 'addressesRequested',
        correlation: toIdentifier('lookup'),
        organisation: toIdentifier('lab'),
        set: toIdentifier(set),
      });
      return state.addresses;
    },
    sample: () => {
      const {control, configuration} = state.node.view;
      record({
        at: clock.readMonotonic(),
        kind: 'configuration',
        entry: process.id,
        incarnation: `${process.id}/${process.incarnation}`,
        version: control.version,
        weight: readWeight(configuration),
        isServing:
          process.isAlive && control.leaseUntil > clock.readMonotonic(),
      });
    },
    start: () => {
      state.node = createNode(options, effect =>
        perform(options, state, effect),
      );
      post({kind: 'started'});
    },
    kill: () => {
      const attempts = [...state.attempts.values()];
      state.attempts.clear();
      state.streams.clear();
      process.kill();
      attempts.forEach(attempt => attempt.fail());
    },
  };
}

function createNode(
  options: EntryHostOptions,
  handle: (effect: EntryEffect) => void,
): EntryNode {
  const {process, clock, createControllers} = options;
  const {incarnation} = process;
  return createEntryNode({
    ...(createControllers === undefined
      ? {}
      : {controllers: createControllers()}),
    identity: createEntryIdentity(process),
    clock,
    perform: effect => {
      // Effects of a process that has just been killed are not executed.
      if (process.isAlive && process.incarnation === incarnation) {
        handle(effect);
      }
    },
  });
}

function acceptCall(
  options: EntryHostOptions,
  state: HostState,
  attempt: Attempt,
): boolean {
  const {process, clock, record, onStep} = options;
  if (!process.isAlive) {
    return false;
  }
  const {request} = attempt;
  state.attempts.set(request, attempt);
  process.run(() => {
    const attributes = createRequestAttributes(attempt.plan, request);
    const rank = attempt.plan.tier === 'gold' ? 1 : 2;
    const at = clock.readMonotonic();
    const entry = process.id;
    record({at, kind: 'accepted', entry, request, set: attributes.set, rank});
    state.node.post({kind: 'requestReceived', attributes});
    onStep('accepted', {entry: process, request});
  });
  return true;
}

function perform(
  options: EntryHostOptions,
  state: HostState,
  effect: EntryEffect,
): void {
  const {process, peers, onStep} = options;
  switch (effect.kind) {
    case 'openStream':
      openStream(options, state, effect);
      return;
    case 'resumeStream':
      resumeStream(options, state, effect.dispatch, effect.fromEvent);
      return;
    case 'cancelStream':
      cancelStream(options, effect.dispatch);
      return;
    case 'refuseCaller':
      refuseCaller(options, state, effect);
      return;
    case 'repeatAnswer':
      sendStoredAnswer(state, effect);
      return;
    case 'sendEntry':
      peers.sendToEntry(effect.to, effect.message);
      return;
    case 'sendControl':
      if (effect.message.kind === 'claimRequest') {
        const {request} = effect.message;
        onStep('claimed', {entry: process, request});
      }
      peers.sendToControl(effect.to, effect.message);
      return;
    case 'setTimer': {
      const {timer, delayMs} = effect;
      process.setTimer(timer.kind, delayMs, () =>
        state.node.post({kind: 'timerDue', timer}),
      );
      return;
    }
    case 'answerOperator':
      peers.answerOperator(effect);
      return;
    case 'recordEnd':
      onStep('counted', {entry: process, request: effect.request.id});
      return;
    case 'answerAddresses':
      state.addresses = effect.addresses.map(address => address.node);
      return;
    case 'sendEndpointOrder':
    case 'settleLeave':
    case 'redirectEntry':
    case 'logDecision':
      // No cell sends endpoint orders, asks for the members of the control
      // log, or reads the entry's log.
      return;
    case 'exit':
      exit(options, state);
      return;
    default:
      assertNever(effect, 'perform');
  }
}

function exit(options: EntryHostOptions, state: HostState): void {
  const {process, clock, record} = options;
  record({
    at: clock.readMonotonic(),
    kind: 'exited',
    entry: process.id,
    openCallers: state.attempts.size,
  });
  process.kill();
}

function openStream(
  options: EntryHostOptions,
  state: HostState,
  effect: Extract<EntryEffect, {readonly kind: 'openStream'}>,
): void {
  const {process, clock, network, peers, record, onStep} = options;
  const {request, dispatch} = effect;
  const attempt = state.attempts.get(request.id);
  const endpoint = peers.findEndpoint(dispatch.target.endpoint);
  const at = clock.readMonotonic();
  record({at, kind: 'opened', entry: process.id, request: request.id});
  onStep('dispatched', {entry: process, request: request.id});
  if (!process.isAlive || attempt === undefined) {
    return;
  }
  if (!endpoint.process.isAlive) {
    const end = {kind: 'notSent', detail: 'ECONNREFUSED'} as const;
    process.schedule(1, () => endStream(state, dispatch, end));
    return;
  }
  state.streams.set(dispatch.id, {attempt, received: []});
  const reader = createReader(options, state, dispatch);
  const {plan} = attempt;
  const key = plan.key === null ? null : plan.key;
  const tokens = formatTokens(plan);
  const job = {dispatch: dispatch.id, request: request.id, key, tokens};
  sendStream(network, process, endpoint.process, {
    deliver: () => endpoint.open(job, reader),
    onBroken: reader.onBroken,
  });
}

function sendStream(
  network: Network,
  from: FakeProcess,
  to: FakeProcess,
  rest: Pick<Transmission, 'deliver' | 'onBroken'>,
): void {
  network.send({kind: 'stream', from, to, ...rest});
}

function createReader(
  {process, onStep}: EntryHostOptions,
  state: HostState,
  dispatch: Dispatch,
): Reader {
  return {
    process,
    onToken: (token, isLast) => {
      const stream = state.streams.get(dispatch.id);
      if (stream === undefined) {
        return;
      }
      stream.received.push(token);
      state.node.post({kind: 'streamStarted', dispatch: dispatch.id});
      if (isLast) {
        onStep('endMark', {entry: process, request: stream.attempt.request});
        endStream(state, dispatch, {kind: 'complete'});
      }
    },
    onBroken: () => {
      const events = state.streams.get(dispatch.id)?.received.length ?? 0;
      const detail = 'connection lost';
      process.run(() =>
        endStream(state, dispatch, {
          kind: 'cut',
          detail,
          events,
          progress: events > 0 ? 'delivering' : 'awaitingHead',
        }),
      );
    },
  };
}

function endStream(state: HostState, dispatch: Dispatch, end: StreamEnd): void {
  const stream = state.streams.get(dispatch.id);
  const answer = stream?.received.join(' ') ?? '';
  const isWhole = end.kind === 'complete';
  const stored = isWhole
    ? {status: 200, contentType: 'text/plain', body: Buffer.from(answer)}
    : null;
  state.node.post({kind: 'streamEnded', dispatch: dispatch.id, end, stored});
  if (isWhole && stream !== undefined) {
    state.streams.delete(dispatch.id);
    state.attempts.delete(stream.attempt.request);
    stream.attempt.finish(answer);
  }
}

function resumeStream(
  options: EntryHostOptions,
  state: HostState,
  dispatch: Dispatch,
  fromEvent: number,
): void {
  const {process, network, peers} = options;
  const endpoint = peers.findEndpoint(dispatch.target.endpoint);
  const reader = createReader(options, state, dispatch);
  sendStream(network, process, endpoint.process, {
    deliver: () => {
      if (!endpoint.resume(dispatch.id, fromEvent, reader)) {
        const end = {kind: 'rejected', status: 404} as const;
        process.schedule(1, () => endStream(state, dispatch, end));
      }
    },
    onBroken: reader.onBroken,
  });
}

function cancelStream(options: EntryHostOptions, dispatch: Dispatch): void {
  const {process, network, peers, onStep} = options;
  const endpoint = peers.findEndpoint(dispatch.target.endpoint);
  onStep('cancelSent', {entry: process, endpoint: endpoint.process});
  sendStream(network, process, endpoint.process, {
    deliver: () => endpoint.cancel(dispatch.id),
  });
}

function refuseCaller(
  {process, clock, record}: EntryHostOptions,
  state: HostState,
  {refusal}: Extract<EntryEffect, {readonly kind: 'refuseCaller'}>,
): void {
  const {request, notRun} = refusal;
  record({
    at: clock.readMonotonic(),
    kind: 'refused',
    entry: process.id,
    request,
    reason: refusal.reason.kind,
    notRun,
  });
  const attempt = state.attempts.get(request);
  state.attempts.delete(request);
  attempt?.refuse(refusal);
}

function sendStoredAnswer(
  state: HostState,
  effect: Extract<EntryEffect, {readonly kind: 'repeatAnswer'}>,
): void {
  const attempt = state.attempts.get(effect.request);
  state.attempts.delete(effect.request);
  if (effect.outcome.kind === 'answered') {
    attempt?.finish(Buffer.from(effect.outcome.body).toString());
  } else {
    attempt?.fail();
  }
}
