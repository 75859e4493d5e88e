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

/** Time between two pings, in milliseconds. */
export const PING_INTERVAL_MS = 2_000;
/** Time without receiving after which a link is closed, in milliseconds. */
export const SILENCE_LIMIT_MS = 6_000;
/** Bytes waiting to be sent at which a link counts as stuck. */
export const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;

/** What a link needs. */
export interface LinkOptions {
  readonly socket: Socket;
  readonly self: NodeId;
  readonly onOpen: (link: Link) => void;
  readonly onMessage: (from: NodeId, body: unknown) => void;
  readonly onClose: (link: Link, error: Error | undefined) => void;
}

/** One connection to another daemon. */
export interface Link {
  /** The peer, known once its hello has arrived. */
  readonly node: NodeId | undefined;
  send(frame: PeerFrame): void;
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
  const link: Link = {
    get node() {
      return node;
    },
    send: frame => {
      if (socket.destroyed || socket.writableLength > MAX_BUFFERED_BYTES) {
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
      socket.write(encodeFrame(frame));
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
  // What is sent into a silent connection must not count as a sign of life.
  let receivedAt = performance.now();
  const ping = setInterval(() => {
    if (performance.now() - receivedAt >= SILENCE_LIMIT_MS) {
      link.close(new PeerSilentError(node ?? address, SILENCE_LIMIT_MS));
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
    clearInterval(ping);
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
