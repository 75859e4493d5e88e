import type {Socket} from 'node:net';

import {assertNever} from '@gentianshunt/errors';
import {
  createFrameReader,
  decodeFrame,
  encodeFrame,
  MAX_FRAME_BYTES,
} from '@gentianshunt/frames';
import type {NodeId} from '@gentianshunt/identifiers';

import {createFragmentReader} from './fragmentReader.js';
import {createFragmentWriter} from './fragmentWriter.js';
import {isLargeMessage} from './outgoingMessage.js';
import type {OutgoingMessage} from './outgoingMessage.js';
import {
  MessageTooLargeError,
  PeerSilentError,
  ProtocolVersionError,
  UnexpectedFrameError,
} from './peerErrors.js';
import {
  FRAGMENT_PROTOCOL_VERSION,
  MIN_PROTOCOL_VERSION,
  parsePeerFrame,
  PROTOCOL_VERSION,
} from './protocol.js';
import type {Fragment, PeerFrame} from './protocol.js';

/** Interval between two checks whether a ping is needed, in milliseconds. */
export const PING_INTERVAL_MS = 2_000;
/** Time without sent data after which a check sends a ping. */
const IDLE_MS = PING_INTERVAL_MS / 2;
/** Time without received data after which a link is closed. */
export const SILENCE_TIMEOUT_MS = 6_000;

/** Options of a link. */
export interface LinkOptions {
  readonly socket: Socket;
  readonly self: NodeId;
  /** Returns whether a message may wait, given the link's short messages. */
  readonly canQueue: (shortBytes: number, message: OutgoingMessage) => boolean;
  readonly onOpen: (link: Link) => void;
  readonly onMessage: (from: NodeId, body: unknown) => void;
  /** Called when a message is dropped because the peer cannot receive it. */
  readonly onDrop: (error: MessageTooLargeError) => void;
  readonly onClose: (link: Link, error: Error | undefined) => void;
}

/** One connection to another daemon. */
export interface Link {
  /** The id of the peer, known once its hello has arrived. */
  readonly node: NodeId | undefined;
  /** Bytes that wait to be sent. */
  readonly queuedBytes: number;
  /** Sends a message, or drops it if the socket is closed or overloaded. */
  send(message: OutgoingMessage): void;
  close(error?: Error): void;
}

/** What is known of a peer from its hello. */
interface Peer {
  readonly node: NodeId;
  readonly acceptsFragments: boolean;
}

/** Creates a link on a connected socket and sends the hello. */
export function createLink(options: LinkOptions): Link {
  const {socket, self} = options;
  const address = `${socket.remoteAddress}:${socket.remotePort}`;
  const reader = createFrameReader({peer: address});
  const fragmentReader = createFragmentReader(address);
  let peer: Peer | undefined;
  let failure: Error | undefined;
  let isCorked = false;
  let sentAt = performance.now();
  let fragmentBytesInSocket = 0;
  const write = (frame: Buffer, onWritten?: () => void): void => {
    if (socket.destroyed) {
      return;
    }
    sentAt = performance.now();
    if (!isCorked) {
      isCorked = true;
      socket.cork();
      process.nextTick(() => {
        isCorked = false;
        socket.uncork();
      });
    }
    socket.write(frame, onWritten);
  };
  const writeFrame = (frame: PeerFrame): void => write(encodeFrame(frame));
  const fragmentWriter = createFragmentWriter(fragment => {
    const frame = encodeFrame(fragment);
    fragmentBytesInSocket += frame.length;
    write(frame, () => {
      fragmentBytesInSocket -= frame.length;
    });
  });
  /** A short message is not held up by large ones that it need not follow. */
  const isDivided = (message: OutgoingMessage): boolean =>
    peer?.acceptsFragments === true &&
    (isLargeMessage(message) || fragmentWriter.has(message.orderingKey));
  const writeWhole = ({frame}: OutgoingMessage): void => {
    if (frame.length <= MAX_FRAME_BYTES) {
      write(frame);
      return;
    }
    const to = peer?.node ?? address;
    options.onDrop(new MessageTooLargeError(to, frame.length, MAX_FRAME_BYTES));
  };
  const link: Link = {
    get node() {
      return peer?.node;
    },
    get queuedBytes() {
      return socket.writableLength + fragmentWriter.queuedBytes;
    },
    send: message => {
      const shortBytes = socket.writableLength - fragmentBytesInSocket;
      if (socket.destroyed || !options.canQueue(shortBytes, message)) {
        return;
      }
      if (isDivided(message)) {
        fragmentWriter.add(message);
      } else {
        writeWhole(message);
      }
    },
    close: error => {
      failure = failure ?? error;
      socket.destroy();
    },
  };
  const receiveFragment = (from: NodeId, fragment: Fragment): void => {
    const content = fragmentReader.add(fragment);
    writeFrame({kind: 'fragmentReceived'});
    if (content === undefined) {
      return;
    }
    const frame = parsePeerFrame(decodeFrame(content, address));
    if (frame?.kind !== 'message') {
      throw new UnexpectedFrameError(from, 'receiveFragment');
    }
    options.onMessage(from, frame.body);
  };
  const receiveFrame = (from: NodeId, frame: PeerFrame): void => {
    switch (frame.kind) {
      case 'message':
        options.onMessage(from, frame.body);
        return;
      case 'fragment':
        receiveFragment(from, frame);
        return;
      case 'fragmentReceived':
        fragmentWriter.confirm();
        return;
      case 'hello':
      case 'ping':
        return;
      default:
        assertNever(frame, 'receiveFrame');
    }
  };
  const handleFrame = (value: unknown): void => {
    const frame = parsePeerFrame(value);
    if (frame === undefined) {
      throw new UnexpectedFrameError(link.node ?? address, 'parsePeerFrame');
    }
    if (peer === undefined) {
      peer = readHello(frame, address);
      options.onOpen(link);
    } else {
      receiveFrame(peer.node, frame);
    }
  };
  // Only received data proves that the peer is alive. A socket timeout would
  // also be reset by data that is sent.
  let receivedAt = performance.now();
  const pingTimer = setInterval(() => {
    if (performance.now() - receivedAt >= SILENCE_TIMEOUT_MS) {
      link.close(new PeerSilentError(link.node ?? address, SILENCE_TIMEOUT_MS));
    } else if (performance.now() - sentAt >= IDLE_MS) {
      writeFrame({kind: 'ping'});
    }
  }, PING_INTERVAL_MS);
  socket.setNoDelay(true);
  socket.on('data', chunk => {
    receivedAt = performance.now();
    try {
      reader.read(chunk).forEach(handleFrame);
    } catch (error) {
      link.close(error as Error);
    }
  });
  socket.on('error', error => {
    failure = failure ?? error;
  });
  socket.on('close', () => {
    clearInterval(pingTimer);
    options.onClose(link, failure);
  });
  writeFrame({
    kind: 'hello',
    protocol: MIN_PROTOCOL_VERSION,
    newestProtocol: PROTOCOL_VERSION,
    node: self,
  });
  return link;
}

function readHello(frame: PeerFrame, address: string): Peer {
  if (frame.kind !== 'hello') {
    throw new UnexpectedFrameError(address, 'readHello');
  }
  const {protocol, newestProtocol = protocol, node} = frame;
  if (protocol > PROTOCOL_VERSION || newestProtocol < MIN_PROTOCOL_VERSION) {
    throw new ProtocolVersionError(address, protocol);
  }
  return {node, acceptsFragments: newestProtocol >= FRAGMENT_PROTOCOL_VERSION};
}
