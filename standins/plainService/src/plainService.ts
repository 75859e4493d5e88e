import {fastify} from 'fastify';

/** Options of a plain service. */
export interface PlainServiceOptions {
  readonly host: string;
  readonly port: number;
  /** Time that each call takes, in milliseconds. */
  readonly workMs: number;
}

/** One call that the service ran. */
export interface ServiceRun {
  readonly dispatch: string;
  readonly body: string;
}

/** A stand-in for a service whose calls must run at most once. */
export interface PlainService {
  readonly url: string;
  /** Every call that the service ran, oldest first. */
  readonly runs: readonly ServiceRun[];
  close(): Promise<void>;
}

/**
 * Starts a service that records every call and answers with its number.
 * `GET /runs` returns the recorded calls.
 */
export async function createPlainService(
  options: PlainServiceOptions,
): Promise<PlainService> {
  const server = fastify({forceCloseConnections: true});
  const runs: ServiceRun[] = [];
  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    '*',
    {parseAs: 'string'},
    (_request, body, done) => done(null, body),
  );
  server.get('/runs', async () => runs);
  server.all('/*', async (request, reply) => {
    const dispatch = String(request.headers['x-dispatch-id'] ?? '');
    runs.push({dispatch, body: String(request.body ?? '')});
    const number = runs.length;
    await new Promise(resolve => setTimeout(resolve, options.workMs));
    void reply.header('x-dispatch-id', dispatch);
    return {number, dispatch};
  });
  const url = await server.listen({host: options.host, port: options.port});
  return {
    url,
    runs,
    close: () => server.close(),
  };
}
