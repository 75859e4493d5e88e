import {connect, createServer} from 'node:net';
import type {Socket} from 'node:net';

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
  forwardBytes(incoming, outgoing, async chunk => {
    if (link.dialler === undefined) {
      learnDialler(chunk);
    }
    await faults.waitToPass(link, 'toTarget', chunk.length);
  });
  forwardBytes(outgoing, incoming, chunk =>
    faults.waitToPass(link, 'toDialler', chunk.length),
  );
}

/** Forwards one direction; a chunk passes once the wait before it ends. */
function forwardBytes(
  from: Socket,
  to: Socket,
  waitToPass: (chunk: Buffer) => Promise<void>,
): void {
  const forward = async (chunk: Buffer): Promise<void> => {
    from.pause();
    await waitToPass(chunk);
    if (to.destroyed) {
      return;
    }
    if (!to.write(chunk)) {
      await awaitDrain(to);
    }
    from.resume();
  };
  from.on('data', (chunk: Buffer) => {
    forward(chunk).catch(() => from.destroy());
  });
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
