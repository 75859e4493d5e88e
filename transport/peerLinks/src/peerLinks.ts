import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

import type {NodeId} from '@gentianshunt/identifiers';

import {createLink} from './link.js';
import type {Link} from './link.js';
import {PeerUnreachableError} from './peerErrors.js';

/** Shortest wait before a connection is tried again, in milliseconds. */
export const MIN_RECONNECT_MS = 50;
/** Longest wait before a connection is tried again, in milliseconds. */
export const MAX_RECONNECT_MS = 500;
/** Longest wait for a peer to accept a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 500;
/** Most messages kept for a peer while its connection is being made. */
export const MAX_QUEUED_MESSAGES = 1_024;

/** Where a peer listens. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** What the links of a daemon need. */
export interface PeerLinksOptions {
  readonly self: NodeId;
  readonly listen: PeerAddress;
  readonly onMessage: (from: NodeId, body: unknown) => void;
  /** Reports why a link ended. */
  readonly onError: (error: Error) => void;
  /** Draws a number from 0 up to 1, for the jitter of reconnection. */
  readonly drawFraction: () => number;
}

/** The connections of a daemon to the others. */
export interface PeerLinks {
  /** The address on which the daemon listens. */
  readonly address: PeerAddress;
  /**
   * Sends a message, connecting first if need be. A message is lost when the
   * connection fails; whoever sends it must bear that.
   */
  send(to: NodeId, address: PeerAddress | undefined, body: unknown): void;
  close(): Promise<void>;
}

interface PeerState {
  link: Link | undefined;
  queued: unknown[];
  failures: number;
  /** No connection is tried before this instant (milliseconds). */
  retryAt: number;
  isConnecting: boolean;
}

/** Listens for the other daemons and connects to them on demand. */
export async function createPeerLinks(
  options: PeerLinksOptions,
): Promise<PeerLinks> {
  const peers = new Map<NodeId, PeerState>();
  const links = new Set<Link>();
  const readPeer = (node: NodeId): PeerState => {
    const known = peers.get(node);
    if (known !== undefined) {
      return known;
    }
    const created: PeerState = {
      link: undefined,
      queued: [],
      failures: 0,
      retryAt: 0,
      isConnecting: false,
    };
    peers.set(node, created);
    return created;
  };
  const openLink = (socket: Socket, expected: NodeId | undefined): void => {
    links.add(
      createLink({
        socket,
        self: options.self,
        onOpen: link => {
          const peer = readPeer(link.node!);
          peer.link = link;
          peer.failures = 0;
          flush(peer, link);
        },
        onMessage: options.onMessage,
        onClose: (link, error) => {
          links.delete(link);
          const node = link.node ?? expected;
          if (node !== undefined) {
            noteClosed(readPeer(node), link, options.drawFraction);
          }
          if (error !== undefined) {
            options.onError(error);
          }
        },
      }),
    );
  };
  const dial = (node: NodeId, address: PeerAddress): void => {
    const peer = readPeer(node);
    if (peer.isConnecting || performance.now() < peer.retryAt) {
      return;
    }
    peer.isConnecting = true;
    const socket = connect({host: address.host, port: address.port});
    // The kernel tries again ever more rarely, also after a cut has healed.
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      socket.destroy(new PeerUnreachableError(node, CONNECT_TIMEOUT_MS));
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
      noteClosed(peer, undefined, options.drawFraction);
      options.onError(error);
    });
  };
  const server = await listen(options.listen, socket =>
    openLink(socket, undefined),
  );
  return {
    address: readAddress(server),
    send: (to, address, body) => {
      const peer = readPeer(to);
      if (peer.link !== undefined) {
        peer.link.send({kind: 'message', body});
        return;
      }
      if (peer.queued.length < MAX_QUEUED_MESSAGES) {
        peer.queued.push(body);
      }
      if (address !== undefined) {
        dial(to, address);
      }
    },
    close: async () => {
      links.forEach(link => link.close());
      await new Promise(resolve => server.close(resolve));
    },
  };
}

function flush(peer: PeerState, link: Link): void {
  const queued = peer.queued;
  peer.queued = [];
  queued.forEach(body => link.send({kind: 'message', body}));
}

/** Drops what was queued and backs off, with jitter, before the next try. */
function noteClosed(
  peer: PeerState,
  link: Link | undefined,
  drawFraction: () => number,
): void {
  if (peer.link !== undefined && peer.link !== link) {
    return;
  }
  peer.link = undefined;
  peer.queued = [];
  const ceiling = Math.min(
    MAX_RECONNECT_MS,
    MIN_RECONNECT_MS * 2 ** peer.failures,
  );
  peer.failures += 1;
  peer.retryAt = performance.now() + ceiling * (0.5 + drawFraction() / 2);
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
