import type {NodeId} from '@gentianshunt/identifiers';

import type {TestMessage} from './memberFixture.js';
import type {Random} from './randomFixture.js';

const MAX_LINK_MS = 20;
const MAX_JITTER_MS = 5;

interface QueuedMessage {
  readonly message: TestMessage;
  readonly dueAt: number;
}

/** Messages that are delivered after the delay of their link, in its order. */
export interface MessageQueue {
  add(message: TestMessage, now: number): void;
  /** Reads when the next message to a node that is not held is due, in ms. */
  readNext(held: ReadonlySet<NodeId>): number;
  /** Takes the messages that are due, but for those to nodes that are held. */
  takeDue(now: number, held: ReadonlySet<NodeId>): readonly TestMessage[];
}

/** Creates an empty queue; each link gets a delay of its own. */
export function createMessageQueue(random: Random): MessageQueue {
  const links = new Map<
    string,
    {readonly delayMs: number; lastDueAt: number}
  >();
  let queued: QueuedMessage[] = [];
  return {
    add: (message, now) => {
      const name = `${message.from} ${message.to}`;
      const delayMs = random.drawInteger(0, MAX_LINK_MS);
      const link = links.get(name) ?? {delayMs, lastDueAt: 0};
      const jitterMs = random.drawInteger(0, MAX_JITTER_MS);
      const dueAt = Math.max(link.lastDueAt, now + link.delayMs + jitterMs);
      links.set(name, {...link, lastDueAt: dueAt});
      queued.push({message, dueAt});
    },
    readNext: held =>
      Math.min(
        ...queued
          .filter(({message}) => !held.has(message.to))
          .map(({dueAt}) => dueAt),
      ),
    takeDue: (now, held) => {
      const isDue = ({message, dueAt}: QueuedMessage): boolean =>
        dueAt <= now && !held.has(message.to);
      const due = queued.filter(isDue);
      queued = queued.filter(each => !isDue(each));
      return due.map(({message}) => message);
    },
  };
}
