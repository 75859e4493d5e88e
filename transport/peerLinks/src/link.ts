import type {Socket} from 'node:net';

import {createFrameReader, encodeFrame} from '@gentianshunt/frames';
import type {NodeId} from '@gentianshunt/identifiers';

import {
  PeerSilentError,
  ProtocolVersionError,
  UnexpectedFrameError,
} from './peerErrors.js';
import {parsePeerFrame, PROTOCOL_VERSION} from './protocol.js';
import type {PeerFrame} from './protocol.js';

/** Interval between pings, in milliseconds. */
export const PING_INTERVAL_MS = 2_000;
/** Time without received data after which a link is closed. */
export const SILENCE_TIMEOUT_MS = 6_000;

/** Options of a link. */
export interface LinkOptions {
  readonly socket: Socket;
  readonly self: NodeId;
  /** Returns whether more may be queued, given what this link has queued. */
  readonly canQueue: (queuedBytes: number) => boolean;
  readonly onOpen: (link: Link) => void;
  readonly onMessage: (from: NodeId, body: unknown) => void;
  readonly onClose: (link: Link, error: Error | undefined) => void;
}

/** One connection to another daemon. */
export interface Link {
  /** The id of the peer, known once its hello has arrived. */
  readonly node: NodeId | undefined;
  /** Bytes that wait to be sent. */
  readonly queuedBytes: number;
  /** Sends a frame, or drops it if the socket is closed or overloaded. */
  send(frame: PeerFrame): void;
  /** Sends a frame that is encoded already, or drops it. */
  sendEncoded(frame: Buffer): void;
  close(error?: Error): void;
}

/** Creates a link on a connected socket and sends the hello. */
export function createLink(options: LinkOptions): Link {
  const {socket, self} = options;
  const address = `${socket.remoteAddress}:${socket.remotePort}`;
  const reader = createFrameReader({peer: address});
  let node: NodeId | undefined;
  let failure: Error | undefined;
  let isCorked = false;
  const canSend = (): boolean =>
    !socket.destroyed && options.canQueue(socket.writableLength);
  const link: Link = {
    get node() {
      return node;
    },
    get queuedBytes() {
      return socket.writableLength;
    },
    send: frame => {
      if (canSend()) {
        link.sendEncoded(encodeFrame(frame));
      }
    },
    sendEncoded: frame => {
      if (!canSend()) {
        return;
      }
      if (!isCorked) {
        isCorked = true;
        socket.cork();
        process.nextTick(() => {
          isCorked = false;
          socket.uncork();
        });
      }
      socket.write(frame);
    },
    close: error => {
      failure = failure ?? error;
      socket.destroy();
    },
  };
  const handleFrame = (value: unknown): void => {
    const frame = parsePeerFrame(value);
    if (frame === undefined) {
      throw new UnexpectedFrameError(node ?? address, 'parsePeerFrame');
    }
    if (node === undefined) {
      node = readHello(frame, address);
      options.onOpen(link);
    } else if (frame.kind === 'message') {
      options.onMessage(node, frame.body);
    }
  };
  // Only received data proves that the peer is alive. A socket timeout would
  // also be reset by data that is sent.
  let receivedAt = performance.now();
  const pingTimer = setInterval(() => {
    if (performance.now() - receivedAt >= SILENCE_TIMEOUT_MS) {
      link.close(new PeerSilentError(node ?? address, SILENCE_TIMEOUT_MS));
    } else {
      link.send({kind: 'ping'});
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
  link.send({kind: 'hello', protocol: PROTOCOL_VERSION, node: self});
  return link;
}

function readHello(frame: PeerFrame, address: string): NodeId {
  if (frame.kind !== 'hello') {
    throw new UnexpectedFrameError(address, 'readHello');
  }
  if (frame.protocol !== PROTOCOL_VERSION) {
    throw new ProtocolVersionError(address, frame.protocol);
  }
  return frame.node;
}
