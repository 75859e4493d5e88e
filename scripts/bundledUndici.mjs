// The parts of undici that the bundle contains. The package as a whole has a
// dozen further clients, which take 8 MB more at the start of a daemon.
import api from '../node_modules/undici/lib/api/index.js';
import Agent from '../node_modules/undici/lib/dispatcher/agent.js';
import buildConnector from '../node_modules/undici/lib/core/connect.js';

export {Agent, buildConnector};

let sharedAgent;

/** Sends a request with the given agent, or with one that all others share. */
export function request(url, {dispatcher, ...options} = {}) {
  const {origin, pathname, search} = new URL(url);
  sharedAgent ??= dispatcher === undefined ? new Agent() : undefined;
  const agent = dispatcher ?? sharedAgent;
  return api.request.call(agent, {
    method: 'GET',
    ...options,
    origin,
    path: pathname + search,
  });
}
