import {isLeaseValid, readInstant} from '@gentianshunt/clock';
import {createEntryNode} from '@gentianshunt/entryNode';
import type {EntryNode} from '@gentianshunt/entryNode';
import type {EntryEffect, EntryObservation} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import {toIdentifier} from '@gentianshunt/identifiers';

import type {Attempt} from './caller.js';
import {refuseCaller, sendStoredAnswer} from './callerAnswers.js';
import type {EntryHostOptions, HostState} from './entryHostState.js';
import {cancelStream, openStream, resumeStream} from './entryStreams.js';
import type {FakeProcess} from './fakeProcess.js';
import {createEntryIdentity} from './identities.js';
import {createRequestAttributes, readWeight} from './objects.js';

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
          process.isAlive && isLeaseValid(control.lease, readInstant(clock)),
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
    case 'releaseAnswer':
    case 'relayCall':
    case 'cancelRelay':
    case 'probeEndpoint':
    case 'sendEndpointOrder':
    case 'settleLeave':
    case 'storeLeaves':
    case 'redirectEntry':
    case 'logDecision':
      // No cell sends endpoint orders, asks for the members of the control
      // log, passes requests on, or reads the entry's log.
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
