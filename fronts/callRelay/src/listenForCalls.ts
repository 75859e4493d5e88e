import {createAcceptQueue} from '@gentianshunt/connectionLimits';
import type {AcceptQueueOptions} from '@gentianshunt/connectionLimits';
import type {NetworkAddress} from '@gentianshunt/messages';
import {MAX_ACCEPT_QUEUE} from '@gentianshunt/policy';
import type {FastifyInstance} from 'fastify';

/** Called with what is measured of connections that wait to be accepted. */
export type AcceptObserver = Pick<
  AcceptQueueOptions,
  'clock' | 'onSample' | 'onDelayed'
>;

/**
 * Listens for the connections of callers. One turn of the event loop accepts one of
 * them, so few may wait, and fewer while turns are long; those beyond try another
 * entry.
 */
export async function listenForCalls(
  server: FastifyInstance,
  {host, port}: NetworkAddress,
  observer: AcceptObserver,
): Promise<void> {
  await server.listen({host, port, backlog: MAX_ACCEPT_QUEUE});
  createAcceptQueue({
    server: server.server,
    address: {host, port},
    ...observer,
  });
}
