import {connect, createServer} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

import {createFrameReader} from '@gentianshunt/frames';
import {parsePeerFrame} from '@gentianshunt/peerLinks';

import type {LinkFaults} from './linkFaults.js';
import type {ProxiedLink} from './proxiedLink.js';

/** An address that a proxy listens at or forwards to. */
export interface ProxyAddress {
  readonly host: string;
  readonly port: number;
}

/** Options of the proxy before one VM. */
export interface LinkProxyOptions {
  /** The VM's name, which is also its node id. */
  readonly target: string;
  /** The address that other VMs dial. */
  readonly listen: ProxyAddress;
  /** The address at which the VM listens. */
  readonly forward: ProxyAddress;
  readonly faults: LinkFaults;
}

/** Forwards the connections that other VMs open to one VM. */
export interface LinkProxy {
  close(): Promise<void>;
}

/** Bytes of one direction that are held at most before no more are read. */
const MAX_HELD_BYTES = 1_048_576;

/** Starts the proxy before a VM. */
export async function startLinkProxy(
  options: LinkProxyOptions,
): Promise<LinkProxy> {
  const sockets = new Set<Socket>();
  const server = createServer(incoming => {
    const outgoing = connect(options.forward);
    [incoming, outgoing].forEach(socket => {
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.once('close', () => sockets.delete(socket));
    });
    openLink(options, incoming, outgoing);
  });
  const {host, port} = options.listen;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    close: async () => {
      sockets.forEach(socket => socket.destroy());
      await new Promise(resolve => server.close(resolve));
    },
  };
}

function openLink(
  {target, faults}: LinkProxyOptions,
  incoming: Socket,
  outgoing: Socket,
): void {
  const link: ProxiedLink = {
    dialler: undefined,
    target,
    isStale: false,
    reset: () => {
      incoming.resetAndDestroy();
      outgoing.resetAndDestroy();
    },
  };
  faults.addLink(link);
  const close = (): void => {
    incoming.destroy();
    outgoing.destroy();
    faults.removeLink(link);
  };
  for (const socket of [incoming, outgoing]) {
    socket.on('error', () => undefined);
    socket.once('close', close);
  }
  const reader = createFrameReader({peer: target});
  const learnDialler = (chunk: Buffer): void => {
    const frame = parsePeerFrame(reader.read(chunk)[0]);
    if (frame?.kind === 'hello') {
      link.dialler = frame.node;
    }
  };
  const readLatency = (): number => faults.readLatency(link);
  forwardBytes(incoming, outgoing, readLatency, async chunk => {
    if (link.dialler === undefined) {
      learnDialler(chunk);
    }
    await faults.waitToPass(link, 'toTarget', chunk.length);
  });
  forwardBytes(outgoing, incoming, readLatency, chunk =>
    faults.waitToPass(link, 'toDialler', chunk.length),
  );
}

/**
 * Forwards one direction in order: a chunk passes after the latency, once the
 * wait before it ends. Chunks are read meanwhile only if there is a latency.
 */
function forwardBytes(
  from: Socket,
  to: Socket,
  readLatency: () => number,
  waitToPass: (chunk: Buffer) => Promise<void>,
): void {
  let heldBytes = 0;
  let earlier = Promise.resolve();
  const forward = async (chunk: Buffer, dueAt: number): Promise<void> => {
    await waitUntil(dueAt);
    await waitToPass(chunk);
    heldBytes -= chunk.length;
    if (to.destroyed) {
      return;
    }
    if (!to.write(chunk)) {
      await awaitDrain(to);
    }
    from.resume();
  };
  from.on('data', (chunk: Buffer) => {
    const latencyMs = readLatency();
    heldBytes += chunk.length;
    if (latencyMs === 0 || heldBytes >= MAX_HELD_BYTES) {
      from.pause();
    }
    const dueAt = performance.now() + latencyMs;
    earlier = earlier
      .then(() => forward(chunk, dueAt))
      .catch(() => {
        from.destroy();
      });
  });
}

async function waitUntil(dueAt: number): Promise<void> {
  const waitMs = dueAt - performance.now();
  if (waitMs > 0) {
    await delay(waitMs);
  }
}

/** Waits until a socket takes more bytes, or is closed. */
function awaitDrain(socket: Socket): Promise<void> {
  return new Promise(resolve => {
    const end = (): void => {
      socket.off('drain', end);
      socket.off('close', end);
      resolve();
    };
    socket.on('drain', end);
    socket.on('close', end);
  });
}
