import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

import {createFrameReader, encodeFrame} from '@gentianshunt/frames';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';

import {createPeerLinks} from '../src/index.js';
import type {PeerAddress, PeerLinks, PeerLinksOptions} from '../src/index.js';

export const HOST = '127.0.0.1';
const SLICE_INTERVAL_MS = 5;
const POLL_INTERVAL_MS = 2;
const MAX_WAIT_MS = 20_000;

/** A message that was received, and when. */
export interface Received {
  readonly body: unknown;
  readonly at: number;
}

/** The links of a daemon in a test, and what they have reported. */
export interface TestLinks {
  readonly node: NodeId;
  readonly links: PeerLinks;
  readonly received: readonly Received[];
  readonly errors: readonly Error[];
}

/** Opens the links of a daemon. */
export async function openLinks(
  name: string,
  changes: Partial<PeerLinksOptions> = {},
): Promise<TestLinks> {
  const node = toIdentifier<NodeId>(name);
  const received: Received[] = [];
  const errors: Error[] = [];
  const links = await createPeerLinks({
    self: node,
    listen: {host: HOST, port: 0},
    onMessage: (_from, body) => received.push({body, at: performance.now()}),
    onError: error => errors.push(error),
    drawFraction: () => 0.5,
    ...changes,
  });
  return {node, links, received, errors};
}

/** A server in a test. */
export interface TestServer {
  readonly address: PeerAddress;
  close(): void;
}

async function startServer(
  onSocket: (socket: Socket) => void,
): Promise<TestServer> {
  const sockets = new Set<Socket>();
  const server: Server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
    onSocket(socket);
  });
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  return {
    address: {host: HOST, port},
    close: () => {
      sockets.forEach(socket => socket.destroy());
      server.close();
    },
  };
}

/** Starts a relay that forwards at most so many bytes a second, each way. */
export function startSlowRelay(
  target: PeerAddress,
  bytesPerSecond: number,
): Promise<TestServer> {
  const sliceBytes = (bytesPerSecond * SLICE_INTERVAL_MS) / 1_000;
  return startServer(socket => {
    const forward = connect(target.port, target.host);
    forward.on('error', () => undefined);
    const timers = [
      relaySlowly(socket, forward, sliceBytes),
      relaySlowly(forward, socket, sliceBytes),
    ];
    const end = (): void => {
      timers.forEach(clearInterval);
      socket.destroy();
      forward.destroy();
    };
    socket.once('close', end);
    forward.once('close', end);
  });
}

/** Forwards a slice in each interval; reads no more than it can forward. */
function relaySlowly(
  from: Socket,
  to: Socket,
  sliceBytes: number,
): NodeJS.Timeout {
  const waiting: Buffer[] = [];
  from.on('data', chunk => {
    waiting.push(chunk);
    from.pause();
  });
  return setInterval(() => {
    const chunk = waiting.shift();
    if (chunk === undefined) {
      from.resume();
      return;
    }
    to.write(chunk.subarray(0, sliceBytes));
    if (chunk.length > sliceBytes) {
      waiting.unshift(chunk.subarray(sliceBytes));
    }
  }, SLICE_INTERVAL_MS);
}

/** Starts peers with a hello of their own that never read. */
export function startStalledPeer(
  hello: Readonly<Record<string, unknown>>,
): Promise<TestServer> {
  return startServer(socket => {
    socket.pause();
    socket.write(encodeFrame({kind: 'hello', ...hello}));
  });
}

/** Starts a peer with a hello of its own that collects the frames it gets. */
export async function startCollectingPeer(
  hello: Readonly<Record<string, unknown>>,
): Promise<TestServer & {readonly frames: readonly unknown[]}> {
  const frames: unknown[] = [];
  const server = await startServer(socket => {
    const reader = createFrameReader({peer: 'test'});
    socket.write(encodeFrame({kind: 'hello', ...hello}));
    socket.on('data', chunk => frames.push(...reader.read(chunk)));
  });
  return {...server, frames};
}

/** Waits until a condition holds; fails after a long time. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  const until = performance.now() + MAX_WAIT_MS;
  while (!isMet()) {
    if (performance.now() > until) {
      throw new Error('the condition was not met in time');
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
