import {MAX_OPEN_MESSAGES} from './fragmentWriter.js';
import {MAX_MESSAGE_BYTES} from './outgoingMessage.js';
import {MessageTooLargeError, UnexpectedFrameError} from './peerErrors.js';
import type {Fragment} from './protocol.js';

/** Puts the fragments of messages together again. */
export interface FragmentReader {
  /**
   * Adds a fragment; returns the content of its message once it is complete.
   * @throws {MessageTooLargeError} if the message is longer than allowed
   * @throws {UnexpectedFrameError} if the fragment fits no message
   */
  add(fragment: Fragment): Buffer | undefined;
}

interface PartialMessage {
  readonly content: Buffer;
  receivedBytes: number;
}

/** Creates a reader for the fragments of one peer. */
export function createFragmentReader(peer: string): FragmentReader {
  const messages = new Map<number, PartialMessage>();
  const openMessage = ({message, messageBytes}: Fragment): PartialMessage => {
    if (messageBytes > MAX_MESSAGE_BYTES) {
      throw new MessageTooLargeError(peer, messageBytes, MAX_MESSAGE_BYTES);
    }
    if (messages.size >= MAX_OPEN_MESSAGES) {
      throw new UnexpectedFrameError(peer, 'openMessage');
    }
    const opened = {
      content: Buffer.allocUnsafeSlow(messageBytes),
      receivedBytes: 0,
    };
    messages.set(message, opened);
    return opened;
  };
  return {
    add: fragment => {
      const {message, messageBytes, bytes} = fragment;
      const partial = messages.get(message) ?? openMessage(fragment);
      const {content, receivedBytes} = partial;
      const isFitting =
        content.length === messageBytes &&
        bytes.length > 0 &&
        receivedBytes + bytes.length <= messageBytes;
      if (!isFitting) {
        throw new UnexpectedFrameError(peer, 'addFragment');
      }
      content.set(bytes, receivedBytes);
      partial.receivedBytes += bytes.length;
      if (partial.receivedBytes < messageBytes) {
        return undefined;
      }
      messages.delete(message);
      return content;
    },
  };
}
