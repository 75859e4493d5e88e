// The heartbeats of a stand-in for a worker.
import {call} from './deployment.mjs';

/**
 * Creates a function that sends a heartbeat to the first machine that takes it,
 * beginning with the one that took the last. It returns whether one did.
 */
export function createHeartbeats(deployment, id) {
  const {nodes, ports} = deployment;
  let target = 0;
  return async heartbeat => {
    const body = JSON.stringify({
      zone: 'zone-1',
      cold_left_ms: 0,
      stage: 'both',
      models: [{name: 'm', version: 1, adapters: []}],
      ...heartbeat,
    });
    for (let tries = 0; tries < nodes.length; tries += 1) {
      const {status} = await call({
        host: nodes[target % nodes.length].host,
        port: ports.control,
        method: 'PUT',
        path: `/v1/instances/${id}`,
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        },
        body,
        timeoutMs: 1_000,
      });
      if (status >= 200 && status < 300) {
        return true;
      }
      target += 1;
    }
    return false;
  };
}
