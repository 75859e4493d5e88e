import type {FastifyInstance} from 'fastify';

/** An order that the engine has carried out. */
export interface AcceptedOrder {
  readonly fencing: number;
  readonly directive: unknown;
}

/** Whether the engine refuses orders with an old fencing number. */
export type FencingMode = 'checks' | 'ignores';

/** Adds the route on which the engine takes orders. */
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
