// The encoded form of a message that waits to be sent.
import {encodeFrame} from '@gentianshunt/frames';

import type {PeerFrame} from './protocol.js';

/** Most bytes of a message in one fragment; larger messages are divided. */
export const FRAGMENT_BYTES = 16 * 1_024;
/**
 * Largest message that may be sent, in bytes. A peer that does not accept
 * fragments gets no message above `MAX_FRAME_BYTES`.
 */
export const MAX_MESSAGE_BYTES = 32 * 1_024 * 1_024;

/** A message that waits to be sent. */
export interface OutgoingMessage {
  /** Messages with the same key arrive in the order in which they are sent. */
  readonly orderingKey: string;
  /** The whole message as one frame. */
  readonly frame: Buffer;
}

/** Encodes messages, one that is sent to several peers only once. */
export interface MessageEncoder {
  encode(body: unknown): OutgoingMessage;
}

/** Returns whether a message is divided into fragments. */
export function isLargeMessage({frame}: OutgoingMessage): boolean {
  return frame.length > FRAGMENT_BYTES;
}

/** Creates an encoder; bodies must not change after they have been sent. */
export function createMessageEncoder(
  readOrderingKey: (body: unknown) => string,
): MessageEncoder {
  const largeMessages = new WeakMap<object, OutgoingMessage>();
  return {
    encode: body => {
      const isObject = typeof body === 'object' && body !== null;
      const known = isObject ? largeMessages.get(body) : undefined;
      if (known !== undefined) {
        return known;
      }
      const frame: PeerFrame = {kind: 'message', body};
      const message = {
        orderingKey: readOrderingKey(body),
        frame: encodeFrame(frame),
      };
      if (isObject && isLargeMessage(message)) {
        largeMessages.set(body, message);
      }
      return message;
    },
  };
}
