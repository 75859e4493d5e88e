import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

import type {NodeId} from '@gentianshunt/identifiers';

import {createLink} from './link.js';
import type {Link} from './link.js';
import {
  createMessageEncoder,
  isLargeMessage,
  MAX_MESSAGE_BYTES,
} from './outgoingMessage.js';
import type {OutgoingMessage} from './outgoingMessage.js';
import {MessageTooLargeError, PeerUnreachableError} from './peerErrors.js';
import {readMessageKind} from './protocol.js';
import {canQueueMessage} from './queueBound.js';

/** Maximum delay before the first attempt to reconnect, in milliseconds. */
export const MIN_RECONNECT_DELAY_MS = 50;
/** Maximum delay before any attempt to reconnect, in milliseconds. */
export const MAX_RECONNECT_DELAY_MS = 500;
/** Longest wait for a peer to accept a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 500;
/** Maximum messages queued for a peer while it is not connected. */
export const MAX_QUEUED_MESSAGES = 1_024;

/** The address on which a peer listens. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Most bytes that are queued over all links. */
export const DEFAULT_MAX_QUEUED_BYTES = 32 * 1024 * 1024;

/** Options of the links of a daemon. */
export interface PeerLinksOptions {
  readonly self: NodeId;
  readonly listen: PeerAddress;
  readonly onMessage: (from: NodeId, body: unknown) => void;
  /** Called with the reason why a link or a connection attempt failed. */
  readonly onError: (error: Error) => void;
  /** Draws a number from 0 to below 1, for the jitter of reconnection. */
  readonly drawFraction: () => number;
  /** Most bytes queued over all links; further messages are dropped. */
  readonly maxQueuedBytes?: number;
  /**
   * Reads the ordering key of a message, its kind by default. A short message
   * overtakes large ones with another key.
   */
  readonly readOrderingKey?: (body: unknown) => string;
}

/** The connections of a daemon to other daemons. */
export interface PeerLinks {
  /** The address on which the daemon listens. */
  readonly address: PeerAddress;
  /**
   * Sends a message, connecting first if necessary and if an address is given.
   * Delivery is not guaranteed: a message is lost when the connection fails, so
   * the sender must tolerate that.
   */
  send(to: NodeId, address: PeerAddress | undefined, body: unknown): void;
  /** Reads how many bytes wait to be sent. */
  readQueuedBytes(): QueuedBytes;
  close(): Promise<void>;
}

/** Bytes that wait to be sent, over all links and on the fullest one. */
export interface QueuedBytes {
  readonly total: number;
  readonly largest: number;
}

interface PeerState {
  link: Link | undefined;
  /** Messages that wait for a connection. */
  queued: OutgoingMessage[];
  failureCount: number;
  /** Monotonic time before which no connection is attempted. */
  retryAtMs: number;
  isConnecting: boolean;
}

/** Listens for other daemons and connects to them on demand. */
export async function createPeerLinks(
  options: PeerLinksOptions,
): Promise<PeerLinks> {
  const peers = new Map<NodeId, PeerState>();
  const links = new Set<Link>();
  const maxQueuedBytes = options.maxQueuedBytes ?? DEFAULT_MAX_QUEUED_BYTES;
  const encoder = createMessageEncoder(
    options.readOrderingKey ?? readMessageKind,
  );
  let unsentBytes = 0;
  const readQueuedBytes = (): QueuedBytes => {
    const queued = Array.from(links, ({queuedBytes}) => queuedBytes);
    return {
      total: queued.reduce((sum, bytes) => sum + bytes, unsentBytes),
      largest: Math.max(0, ...queued),
    };
  };
  const canQueue = (
    shortBytes: number | undefined,
    message: OutgoingMessage,
  ): boolean =>
    canQueueMessage({
      bytes: message.frame.length,
      isLarge: isLargeMessage(message),
      shortBytes,
      readTotalBytes: () => readQueuedBytes().total,
      maxBytes: maxQueuedBytes,
    });
  const takeQueue = (peer: PeerState): readonly OutgoingMessage[] => {
    const messages = peer.queued;
    peer.queued = [];
    unsentBytes -= sumBytes(messages);
    return messages;
  };
  const findOrCreatePeer = (node: NodeId): PeerState => {
    const known = peers.get(node);
    if (known !== undefined) {
      return known;
    }
    const created: PeerState = {
      link: undefined,
      queued: [],
      failureCount: 0,
      retryAtMs: 0,
      isConnecting: false,
    };
    peers.set(node, created);
    return created;
  };
  const disconnect = (peer: PeerState, link: Link | undefined): void => {
    if (peer.link === undefined || peer.link === link) {
      takeQueue(peer);
      recordDisconnect(peer, options.drawFraction);
    }
  };
  const openLink = (socket: Socket, expected: NodeId | undefined): void => {
    links.add(
      createLink({
        socket,
        self: options.self,
        canQueue,
        onOpen: link => {
          const peer = findOrCreatePeer(link.node!);
          peer.link = link;
          peer.failureCount = 0;
          takeQueue(peer).forEach(link.send);
        },
        onMessage: options.onMessage,
        onDrop: options.onError,
        onClose: (link, error) => {
          links.delete(link);
          const node = link.node ?? expected;
          if (node !== undefined) {
            disconnect(findOrCreatePeer(node), link);
          }
          if (error !== undefined) {
            options.onError(error);
          }
        },
      }),
    );
  };
  const startConnecting = (node: NodeId, address: PeerAddress): void => {
    const peer = findOrCreatePeer(node);
    if (peer.isConnecting || performance.now() < peer.retryAtMs) {
      return;
    }
    peer.isConnecting = true;
    const socket = connect({host: address.host, port: address.port});
    // The kernel resends connection requests at growing intervals, which would
    // delay the connection even after a network partition has ended.
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      // After a standstill, timers run before the connection is reported.
      setImmediate(() => {
        if (socket.connecting) {
          socket.destroy(new PeerUnreachableError(node, CONNECT_TIMEOUT_MS));
        }
      });
    });
    socket.once('connect', () => {
      peer.isConnecting = false;
      socket.setTimeout(0);
      socket.removeAllListeners('timeout');
      socket.removeAllListeners('error');
      openLink(socket, node);
    });
    socket.once('error', error => {
      peer.isConnecting = false;
      disconnect(peer, undefined);
      options.onError(error);
    });
  };
  const queueUnsent = (peer: PeerState, message: OutgoingMessage): void => {
    const hasPlace = peer.queued.length < MAX_QUEUED_MESSAGES;
    if (hasPlace && canQueue(undefined, message)) {
      peer.queued.push(message);
      unsentBytes += message.frame.length;
    }
  };
  const server = await listen(options.listen, socket =>
    openLink(socket, undefined),
  );
  return {
    address: readAddress(server),
    send: (to, address, body) => {
      const message = encoder.encode(body);
      const {length} = message.frame;
      if (length > MAX_MESSAGE_BYTES) {
        options.onError(
          new MessageTooLargeError(to, length, MAX_MESSAGE_BYTES),
        );
        return;
      }
      const peer = findOrCreatePeer(to);
      if (peer.link !== undefined) {
        peer.link.send(message);
        return;
      }
      queueUnsent(peer, message);
      if (address !== undefined) {
        startConnecting(to, address);
      }
    },
    readQueuedBytes,
    close: async () => {
      links.forEach(link => link.close());
      await new Promise(resolve => server.close(resolve));
    },
  };
}

function sumBytes(messages: readonly OutgoingMessage[]): number {
  return messages.reduce((sum, {frame}) => sum + frame.length, 0);
}

/** Delays the next attempt by a jittered backoff. */
function recordDisconnect(peer: PeerState, drawFraction: () => number): void {
  peer.link = undefined;
  const maxDelayMs = Math.min(
    MAX_RECONNECT_DELAY_MS,
    MIN_RECONNECT_DELAY_MS * 2 ** peer.failureCount,
  );
  peer.failureCount += 1;
  peer.retryAtMs = performance.now() + maxDelayMs * (0.5 + drawFraction() / 2);
}

function listen(
  address: PeerAddress,
  onConnection: (socket: Socket) => void,
): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer(onConnection);
    server.once('error', reject);
    server.listen(address.port, address.host, () => resolve(server));
  });
}

function readAddress(server: Server): PeerAddress {
  const {address, port} = server.address() as AddressInfo;
  return {host: address, port};
}
