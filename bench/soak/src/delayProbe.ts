import {connect, createServer} from 'node:net';
import type {AddressInfo} from 'node:net';

/** Measures how late this process sees what arrives at it. */
export interface DelayProbe {
  close(): void;
}

const HOST = '127.0.0.1';
const INTERVAL_MS = 100;

/**
 * Connects to itself at intervals and reports how long each connection and its
 * first bytes took; of an idle process, a few milliseconds.
 */
export function startDelayProbe(
  onDelay: (delayMs: number) => void,
): DelayProbe {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', chunk => {
      onDelay(performance.now() - Number(chunk.toString()));
      socket.destroy();
    });
  });
  let timer: NodeJS.Timeout | undefined = undefined;
  server.listen(0, HOST, () => {
    const {port} = server.address() as AddressInfo;
    timer = setInterval(() => {
      const socket = connect(port, HOST);
      socket.on('error', () => undefined);
      socket.write(String(performance.now()));
    }, INTERVAL_MS);
  });
  return {
    close: () => {
      clearInterval(timer);
      server.close();
    },
  };
}
