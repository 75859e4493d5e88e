import {connect} from 'node:net';

import type {Milliseconds} from '@gentianshunt/clock';
import type {EndpointTarget, EntryObservation} from '@gentianshunt/entryModel';

const HTTP_PORT = 80;
const HTTPS_PORT = 443;

/** Opens a connection to an endpoint and posts whether it could be opened in time. */
export function checkEndpoint(
  {endpoint, url}: EndpointTarget,
  timeoutMs: Milliseconds,
  post: (observation: EntryObservation) => void,
): void {
  void checkConnection(url, timeoutMs).then(isReached =>
    post({kind: 'endpointProbed', endpoint, isReached}),
  );
}

/**
 * Opens a connection to the host of a URL and closes it. Resolves with whether it
 * could be opened in time; never rejects.
 */
function checkConnection(
  url: string,
  timeoutMs: Milliseconds,
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
