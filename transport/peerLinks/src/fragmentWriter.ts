import {FRAME_HEADER_BYTES} from '@gentianshunt/frames';

import {FRAGMENT_BYTES} from './outgoingMessage.js';
import type {OutgoingMessage} from './outgoingMessage.js';
import type {Fragment} from './protocol.js';

/**
 * Most fragments that the peer has not confirmed. They bound the bytes in the
 * buffers of both sockets, behind which a short message waits.
 */
export const MAX_UNCONFIRMED_FRAGMENTS = 8;
/** Most messages of which a part is sent at the same time. */
export const MAX_OPEN_MESSAGES = 4;

/** Sends messages in fragments, between which other frames may be sent. */
export interface FragmentWriter {
  /** Bytes that are not handed to the socket yet. */
  readonly queuedBytes: number;
  /** Whether messages wait behind which one with the same key must go. */
  has(orderingKey: string): boolean;
  add(message: OutgoingMessage): void;
  /** Records that the peer has received a fragment. */
  confirm(): void;
}

/** Messages with one ordering key; the first may be sent in part. */
interface Lane {
  readonly orderingKey: string;
  readonly messages: OutgoingMessage[];
  /** The number of the first message once a part of it has been sent. */
  messageNumber: number | undefined;
  /** Bytes of the first message's content that have been sent. */
  sentBytes: number;
}

/** Creates a writer that has nothing to send. */
export function createFragmentWriter(
  sendFragment: (fragment: Fragment) => void,
): FragmentWriter {
  // Lanes in the order in which they may send their next fragment.
  const lanes = new Map<string, Lane>();
  let queuedBytes = 0;
  let unconfirmed = 0;
  let openMessages = 0;
  let lastNumber = 0;
  const findNextLane = (): Lane | undefined => {
    for (const lane of lanes.values()) {
      const isOpen = lane.messageNumber !== undefined;
      if (isOpen || openMessages < MAX_OPEN_MESSAGES) {
        return lane;
      }
    }
    return undefined;
  };
  const openMessage = (lane: Lane): number => {
    lastNumber += 1;
    openMessages += 1;
    lane.messageNumber = lastNumber;
    return lastNumber;
  };
  const closeMessage = (lane: Lane): void => {
    openMessages -= 1;
    lane.messages.shift();
    lane.messageNumber = undefined;
    lane.sentBytes = 0;
  };
  const sendNext = (lane: Lane): void => {
    const content = lane.messages[0]!.frame.subarray(FRAME_HEADER_BYTES);
    const message = lane.messageNumber ?? openMessage(lane);
    const end = Math.min(content.length, lane.sentBytes + FRAGMENT_BYTES);
    const bytes = content.subarray(lane.sentBytes, end);
    lane.sentBytes = end;
    queuedBytes -= bytes.length;
    unconfirmed += 1;
    if (end === content.length) {
      closeMessage(lane);
    }
    lanes.delete(lane.orderingKey);
    if (lane.messages.length > 0) {
      lanes.set(lane.orderingKey, lane);
    }
    sendFragment({
      kind: 'fragment',
      message,
      messageBytes: content.length,
      bytes,
    });
  };
  const sendAll = (): void => {
    while (unconfirmed < MAX_UNCONFIRMED_FRAGMENTS) {
      const lane = findNextLane();
      if (lane === undefined) {
        return;
      }
      sendNext(lane);
    }
  };
  const addToLane = (message: OutgoingMessage): void => {
    const {orderingKey} = message;
    const lane = lanes.get(orderingKey);
    if (lane === undefined) {
      lanes.set(orderingKey, {
        orderingKey,
        messages: [message],
        messageNumber: undefined,
        sentBytes: 0,
      });
    } else {
      lane.messages.push(message);
    }
    queuedBytes += message.frame.length - FRAME_HEADER_BYTES;
  };
  return {
    get queuedBytes() {
      return queuedBytes;
    },
    has: orderingKey => lanes.has(orderingKey),
    add: message => {
      addToLane(message);
      sendAll();
    },
    confirm: () => {
      unconfirmed = Math.max(0, unconfirmed - 1);
      sendAll();
    },
  };
}
