import type {NetworkAddress} from '@gentianshunt/messages';
import type {FastifyInstance} from 'fastify';

/**
 * Most connections that wait to be accepted. One turn of the event loop accepts
 * one, so a longer queue in front of a busy event loop would hold callers until
 * they leave; those beyond it try another entry.
 */
export const MAX_PENDING_CONNECTIONS = 32;

/** Listens for the connections of callers. */
export async function listenForCalls(
  server: FastifyInstance,
  {host, port}: NetworkAddress,
): Promise<void> {
  await server.listen({host, port, backlog: MAX_PENDING_CONNECTIONS});
}
