import type {Server, ServerResponse} from 'node:http';

/** The responses of a server that have not reached their callers yet. */
export interface OpenResponses {
  /** Resolves once the last byte of every response has been handed over. */
  drain(): Promise<void>;
}

/** Watches the responses of a server. */
export function createOpenResponses(server: Server): OpenResponses {
  const open = new Set<ServerResponse>();
  let onDrained: (() => void) | undefined;
  server.on('request', (_request, response) => {
    open.add(response);
    response.once('close', () => {
      open.delete(response);
      if (open.size === 0) {
        onDrained?.();
      }
    });
  });
  return {
    drain: () =>
      new Promise(resolve => {
        onDrained = resolve;
        if (open.size === 0) {
          resolve();
        }
      }),
  };
}
