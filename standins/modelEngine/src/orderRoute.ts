import type {FastifyInstance} from 'fastify';

/** An endpoint order that the engine has accepted. */
export interface AcceptedOrder {
  readonly fencing: number;
  readonly directive: unknown;
}

/** Whether the engine refuses orders with an outdated fencing number. */
export type FencingMode = 'checks' | 'ignores';

/** Adds routes that accept endpoint orders and list the accepted ones. */
export function addOrderRoute(
  server: FastifyInstance,
  mode: FencingMode,
): void {
  const accepted: AcceptedOrder[] = [];
  let highest = 0;
  server.post<{Body: AcceptedOrder}>('/v1/orders', async (request, reply) => {
    const {fencing, directive} = request.body;
    if (mode === 'checks' && fencing < highest) {
      return reply.code(409).send({error: 'old fencing number', highest});
    }
    highest = Math.max(highest, fencing);
    accepted.push({fencing, directive});
    return {accepted: accepted.length};
  });
  server.get('/orders', async () => accepted);
}
