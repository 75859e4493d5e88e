import {connect} from 'node:net';

/**
 * Opens a connection to the host of a URL and closes it. Resolves with whether it
 * could be opened in time; never rejects.
 */
export function checkConnection(
  url: string,
  timeoutMs: number,
): Promise<boolean> {
  const {hostname: host, port, protocol} = new URL(url);
  const defaultPort = protocol === 'https:' ? HTTPS_PORT : HTTP_PORT;
  return new Promise(resolve => {
    const socket = connect({host, port: Number(port) || defaultPort});
    const finish = (isReached: boolean): void => {
      socket.destroy();
      resolve(isReached);
    };
    socket.setTimeout(timeoutMs, () => finish(false));
    socket.once('connect', () => finish(true));
    socket.once('error', () => finish(false));
  });
}

const HTTP_PORT = 80;
const HTTPS_PORT = 443;
