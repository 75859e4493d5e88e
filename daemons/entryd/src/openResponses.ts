import type {Server, ServerResponse} from 'node:http';

/** Tracks the HTTP responses of a server that are not complete yet. */
export interface OpenResponses {
  /** Resolves once every response is closed. */
  drain(): Promise<void>;
  /** Sums the bytes that callers have not read yet. */
  measure(): number;
}

/** Starts tracking the responses of a server. */
export function createOpenResponses(server: Server): OpenResponses {
  const open = new Set<ServerResponse>();
  let resolveDrain: (() => void) | undefined;
  server.on('request', (_request, response) => {
    open.add(response);
    response.once('close', () => {
      open.delete(response);
      if (open.size === 0) {
        resolveDrain?.();
      }
    });
  });
  return {
    measure: () =>
      Array.from(open, ({writableLength}) => writableLength).reduce(
        (sum, bytes) => sum + bytes,
        0,
      ),
    drain: () =>
      new Promise(resolve => {
        resolveDrain = resolve;
        if (open.size === 0) {
          resolve();
        }
      }),
  };
}
