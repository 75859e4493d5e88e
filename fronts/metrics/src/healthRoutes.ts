import type {FastifyInstance} from 'fastify';

import type {MetricsFormatter} from './metricsFormatter.js';

/** Options of the health routes. */
export interface HealthRoutesOptions {
  readonly server: FastifyInstance;
  readonly metrics: MetricsFormatter;
  /** Returns whether the daemon can do its work now. */
  readonly readReady: () => boolean;
}

/**
 * Adds the routes `/metrics`, `/health` (succeeds while the process responds)
 * and `/ready` (succeeds while the daemon can do its work).
 */
export function addHealthRoutes(options: HealthRoutesOptions): void {
  const {server, metrics} = options;
  server.get('/metrics', async (_request, reply) =>
    reply.type(metrics.contentType).send(await metrics.format()),
  );
  server.get('/health', async () => ({healthy: true}));
  server.get('/ready', async (_request, reply) => {
    const ready = options.readReady();
    return reply.code(ready ? 200 : 503).send({ready});
  });
}
