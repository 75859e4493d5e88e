import type {Milliseconds} from '@gentianshunt/clock';
import type {ConfigurationObject} from '@gentianshunt/configuration';
import type {
  EntryEffect,
  EntryIdentity,
  EntryMessage,
  EntryObservation,
  LeaderSilencePolicy,
} from '@gentianshunt/entryModel';
import {createEntryNode} from '@gentianshunt/entryNode';
import type {EntryNode} from '@gentianshunt/entryNode';
import {assertNever} from '@gentianshunt/errors';
import {toIdentifier} from '@gentianshunt/identifiers';

import {createDirectoryEntry, createFakeControl} from './fakeControl.js';
import type {FakeControl} from './fakeControl.js';
import {createStoppableClock} from './stoppableClock.js';
import {createVirtualTime} from './virtualTime.js';
import type {CancelTask, VirtualTime} from './virtualTime.js';

/** A message from one entry to another. */
export interface SentMessage {
  readonly from: string;
  readonly to: string;
  readonly message: EntryMessage;
}

/** Parameters of virtual entries. */
export interface VirtualEntriesOptions {
  /** Names of the entries. */
  readonly nodes: readonly string[];
  /** Configuration that is published before the entries start. */
  readonly objects: readonly ConfigurationObject[];
  /**
   * Returns the delays after which copies of a message arrive: one delay
   * delivers it once, several duplicate it, and an empty list loses it.
   */
  readonly deliver?: (sent: SentMessage) => readonly Milliseconds[];
  /** What the entries do while the set leader is silent; `wait` by default. */
  readonly leaderSilence?: LeaderSilencePolicy;
  /** Receives every effect except timers and messages to control daemons. */
  readonly onEffect?: (node: string, effect: EntryEffect) => void;
}

/**
 * An entry whose process can be frozen, killed and partitioned from the control
 * daemons.
 */
export interface VirtualEntry {
  /** The present process. */
  readonly entry: EntryNode;
  post(observation: EntryObservation): void;
  /** Buffers all observations until `resume` delivers them in order. */
  freeze(): void;
  resume(): void;
  /** Freezes the VM: its monotonic clock stands still until `resume`. */
  suspend(): void;
  /** Ends the process, which loses its state, timers and what arrives. */
  kill(): void;
  /** Starts a new process after `kill`. */
  start(): void;
  /** Sets whether the entry's heartbeats to the control daemons are lost. */
  setControlPartitioned(isPartitioned: boolean): void;
}

/** Entries that share a virtual clock and a fake control daemon. */
export interface VirtualEntries {
  readonly time: VirtualTime;
  /** Publishes a configuration and a directory that lists the nodes. */
  publish(
    objects: readonly ConfigurationObject[],
    nodes: readonly string[],
  ): void;
  find(node: string): VirtualEntry;
}

const DEFAULT_DELIVERY_DELAY_MS: Milliseconds = 1;
const deliverAfterDefaultDelay = (): readonly Milliseconds[] => [
  DEFAULT_DELIVERY_DELAY_MS,
];

/** Creates entries, publishes their configuration and starts them. */
export function createVirtualEntries(
  options: VirtualEntriesOptions,
): VirtualEntries {
  const time = createVirtualTime();
  const control = createFakeControl();
  const entries = new Map<string, VirtualEntry>();
  const publish: VirtualEntries['publish'] = (objects, nodes) =>
    control.publish(
      objects,
      nodes.map(node => createDirectoryEntry(node)),
    );
  const send = (sent: SentMessage): void => {
    const observation: EntryObservation = {
      kind: 'entryMessage',
      from: toIdentifier(sent.from),
      message: sent.message,
    };
    if (sent.from === sent.to) {
      entries.get(sent.to)!.post(observation);
      return;
    }
    for (const delayMs of (options.deliver ?? deliverAfterDefaultDelay)(sent)) {
      time.schedule(delayMs, () => entries.get(sent.to)?.post(observation));
    }
  };
  publish(options.objects, options.nodes);
  for (const node of options.nodes) {
    entries.set(node, createEntry(node, time, control, send, options));
  }
  entries.forEach(entry => entry.post({kind: 'started'}));
  return {time, publish, find: node => entries.get(node)!};
}

/** The process of an entry. */
interface EntryProcess {
  readonly node: EntryNode;
  readonly timers: Map<string, CancelTask>;
}

function createEntry(
  node: string,
  time: VirtualTime,
  control: FakeControl,
  send: (sent: SentMessage) => void,
  options: VirtualEntriesOptions,
): VirtualEntry {
  const clock = createStoppableClock(time.clock);
  let backlog: EntryObservation[] | undefined;
  let isControlPartitioned = false;
  let incarnation = 0;
  const createProcess = (): EntryProcess => {
    const timers = new Map<string, CancelTask>();
    incarnation += 1;
    const created: EntryProcess = {
      timers,
      node: createEntryNode({
        identity: createIdentity(node, incarnation, options),
        clock,
        perform: effect =>
          performEffect(effect, {
            node,
            time,
            control,
            send,
            options,
            timers,
            isControlPartitioned,
            post: observation => postTo(created, observation),
          }),
      }),
    };
    return created;
  };
  const postTo = (to: EntryProcess, observation: EntryObservation): void => {
    if (to !== current) {
      return;
    }
    if (backlog === undefined) {
      to.node.post(observation);
    } else {
      backlog.push(observation);
    }
  };
  const created = createProcess();
  let current: EntryProcess | undefined = created;
  let latest = created;
  const post = (observation: EntryObservation): void => {
    if (current !== undefined) {
      postTo(current, observation);
    }
  };
  return {
    get entry() {
      return latest.node;
    },
    post,
    freeze: () => {
      backlog ??= [];
    },
    suspend: () => {
      backlog ??= [];
      clock.stop();
    },
    resume: () => {
      const pending = backlog ?? [];
      backlog = undefined;
      clock.resume();
      pending.forEach(post);
    },
    kill: () => {
      latest.timers.forEach(cancel => cancel());
      current = undefined;
      backlog = undefined;
      clock.resume();
    },
    start: () => {
      latest = createProcess();
      current = latest;
      post({kind: 'started'});
    },
    setControlPartitioned: isPartitioned => {
      isControlPartitioned = isPartitioned;
    },
  };
}

function createIdentity(
  node: string,
  incarnation: number,
  {leaderSilence}: VirtualEntriesOptions,
): EntryIdentity {
  return {
    address: createDirectoryEntry(node).address,
    incarnation: toIdentifier(`start-${incarnation}`),
    controlNodes: [toIdentifier('control-0')],
    ...(leaderSilence === undefined ? {} : {leaderSilence}),
  };
}

/** What the effects of an entry act on. */
interface EffectContext {
  readonly node: string;
  readonly time: VirtualTime;
  readonly control: FakeControl;
  readonly send: (sent: SentMessage) => void;
  readonly options: VirtualEntriesOptions;
  readonly timers: Map<string, CancelTask>;
  readonly isControlPartitioned: boolean;
  readonly post: (observation: EntryObservation) => void;
}

function performEffect(effect: EntryEffect, context: EffectContext): void {
  const {node, time, timers, post, send} = context;
  const {onEffect} = context.options;
  switch (effect.kind) {
    case 'setTimer': {
      const {timer, delayMs} = effect;
      timers.get(timer.kind)?.();
      const postTimerDue = (): void => post({kind: 'timerDue', timer});
      timers.set(timer.kind, time.schedule(delayMs, postTimerDue));
      return;
    }
    case 'sendControl': {
      const {message} = effect;
      if (message.kind === 'entryHeartbeat' && !context.isControlPartitioned) {
        const answer = context.control.answerHeartbeat(message);
        time.schedule(0, () => post(answer));
      }
      return;
    }
    case 'sendEntry':
      onEffect?.(node, effect);
      send({from: node, to: effect.to, message: effect.message});
      return;
    case 'openStream':
    case 'resumeStream':
    case 'cancelStream':
    case 'relayCall':
    case 'cancelRelay':
    case 'probeEndpoint':
    case 'releaseAnswer':
    case 'refuseCaller':
    case 'repeatAnswer':
    case 'answerAddresses':
    case 'sendEndpointOrder':
    case 'settleLeave':
    case 'storeLeaves':
    case 'redirectEntry':
    case 'logDecision':
    case 'answerOperator':
    case 'recordEnd':
    case 'exit':
      onEffect?.(node, effect);
      return;
    default:
      assertNever(effect, 'performEffect');
  }
}
