import type {FastifyInstance} from 'fastify';

import type {MetricsFormatter} from './metricsFormatter.js';

/** What the health routes need. */
export interface HealthRoutesOptions {
  readonly server: FastifyInstance;
  readonly metrics: MetricsFormatter;
  /** Whether the daemon can do its work now. */
  readonly readReady: () => boolean;
}

/** Adds `/metrics`, `/health` (the process answers) and `/ready`. */
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
