import {
  createEndpointConnector,
  MAX_HEAD_BYTES,
} from '@gentianshunt/callerFront';
import {Agent} from 'undici';

/** Longest wait for a connection to an endpoint. */
export const CONNECT_TIMEOUT_MS = 500;
/** How long an idle connection to an endpoint is kept open. */
export const KEEP_ALIVE_MS = 4_000;
/** How much earlier than the endpoint this side closes an idle connection. */
const KEEP_ALIVE_MARGIN_MS = 1_000;

/** The connections to endpoints. */
export interface ConnectionPools {
  /**
   * Returns the pool for a call that was sent so many times before. Each has
   * connections of its own: an endpoint may repeat its answer to an earlier
   * sending of the call, which bears the same id, on the connection of that
   * sending only.
   */
  find(sentCount: number): Agent;
  close(): Promise<void>;
}

/** Creates the pools; each opens its connections as they are needed. */
export function createConnectionPools(): ConnectionPools {
  const pools: Agent[] = [];
  return {
    find: sentCount => (pools[sentCount] ??= createPool()),
    close: async () => {
      await Promise.all(pools.map(pool => pool.destroy()));
    },
  };
}

function createPool(): Agent {
  return new Agent({
    connections: null,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    connect: createEndpointConnector({
      timeout: CONNECT_TIMEOUT_MS,
      noDelay: true,
    }),
    maxHeaderSize: MAX_HEAD_BYTES,
    // The controllers of the entry decide how long an endpoint may be silent.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}
