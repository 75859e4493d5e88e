import type {Milliseconds} from '@gentianshunt/clock';
import type {ConfigurationObject} from '@gentianshunt/configuration';
import type {
  EntryMessage,
  EntryObservation,
  EntryOrder,
} from '@gentianshunt/entryModel';
import {createEntryNode} from '@gentianshunt/entryNode';
import type {EntryNode} from '@gentianshunt/entryNode';
import {assertNever} from '@gentianshunt/errors';
import {toIdentifier} from '@gentianshunt/identifiers';

import {createDirectoryEntry, createFakeControl} from './fakeControl.js';
import type {FakeControl} from './fakeControl.js';
import {createVirtualTime} from './virtualTime.js';
import type {CancelTask, VirtualTime} from './virtualTime.js';

/** One message on its way between two entries. */
export interface SentMessage {
  readonly from: string;
  readonly to: string;
  readonly message: EntryMessage;
}

/** What virtual entries need. */
export interface VirtualEntriesOptions {
  readonly nodes: readonly string[];
  readonly objects: readonly ConfigurationObject[];
  /** Delays after which a message arrives; an empty list loses it. */
  readonly deliver?: (sent: SentMessage) => readonly Milliseconds[];
  /** Sees every order other than timers and messages to control. */
  readonly onOrder?: (node: string, order: EntryOrder) => void;
}

/** An entry whose process can be frozen and cut from the control daemons. */
export interface VirtualEntry {
  readonly entry: EntryNode;
  post(observation: EntryObservation): void;
  /** Holds everything that arrives until the process is resumed. */
  freeze(): void;
  resume(): void;
  setControlCut(isCut: boolean): void;
}

/** Entries that share a clock and a fake control daemon. */
export interface VirtualEntries {
  readonly time: VirtualTime;
  /** Publishes a configuration and the nodes that hold leases. */
  publish(
    objects: readonly ConfigurationObject[],
    nodes: readonly string[],
  ): void;
  find(node: string): VirtualEntry;
}

const NEXT_HOP_MS: Milliseconds = 1;
const deliverAtOnce = (): readonly Milliseconds[] => [NEXT_HOP_MS];

/** Creates started entries that hold the configuration. */
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
    for (const delayMs of (options.deliver ?? deliverAtOnce)(sent)) {
      time.schedule(delayMs, () => entries.get(sent.to)?.post(observation));
    }
  };
  publish(options.objects, options.nodes);
  for (const node of options.nodes) {
    entries.set(node, createEntry(node, time, control, send, options.onOrder));
  }
  entries.forEach(entry => entry.post({kind: 'started'}));
  return {time, publish, find: node => entries.get(node)!};
}

function createEntry(
  node: string,
  time: VirtualTime,
  control: FakeControl,
  send: (sent: SentMessage) => void,
  onOrder: VirtualEntriesOptions['onOrder'],
): VirtualEntry {
  const timers = new Map<string, CancelTask>();
  let backlog: EntryObservation[] | undefined;
  let isControlCut = false;
  const post = (observation: EntryObservation): void => {
    if (backlog === undefined) {
      entry.post(observation);
    } else {
      backlog.push(observation);
    }
  };
  const perform = (order: EntryOrder): void => {
    switch (order.kind) {
      case 'setTimer': {
        const {timer, delayMs} = order;
        timers.get(timer.kind)?.();
        const isDue = (): void => post({kind: 'timerDue', timer});
        timers.set(timer.kind, time.schedule(delayMs, isDue));
        return;
      }
      case 'sendControl': {
        const {message} = order;
        if (message.kind === 'entryHeartbeat' && !isControlCut) {
          const answer = control.answerHeartbeat(message);
          time.schedule(0, () => post(answer));
        }
        return;
      }
      case 'sendEntry':
        onOrder?.(node, order);
        send({from: node, to: order.to, message: order.message});
        return;
      case 'openStream':
      case 'resumeStream':
      case 'cancelStream':
      case 'refuseCaller':
      case 'repeatAnswer':
      case 'answerAddresses':
      case 'sendEndpointOrder':
      case 'redirectEntry':
      case 'tell':
      case 'answerOperator':
      case 'recordEnd':
      case 'exit':
        onOrder?.(node, order);
        return;
      default:
        assertNever(order, 'perform');
    }
  };
  const entry = createEntryNode({
    identity: {
      address: createDirectoryEntry(node).address,
      incarnation: toIdentifier('start-1'),
      controls: [toIdentifier('control-0')],
    },
    clock: time.clock,
    perform,
  });
  return {
    entry,
    post,
    freeze: () => {
      backlog ??= [];
    },
    resume: () => {
      const held = backlog ?? [];
      backlog = undefined;
      held.forEach(post);
    },
    setControlCut: isCut => {
      isControlCut = isCut;
    },
  };
}
