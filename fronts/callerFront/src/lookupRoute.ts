import type {EntryObservation, EntryOrder} from '@gentianshunt/entryModel';
import {isIdentifier} from '@gentianshunt/identifiers';
import type {
  EndpointSetId,
  OrganisationId,
  RequestId,
} from '@gentianshunt/identifiers';
import type {FastifyInstance, FastifyReply} from 'fastify';

import {createBadRequestProblem, PROBLEM_MEDIA_TYPE} from './problem.js';

type AnswerOrder = Extract<EntryOrder, {readonly kind: 'answerAddresses'}>;

/** What the lookup route needs. */
export interface LookupRouteOptions {
  readonly server: FastifyInstance;
  readonly post: (observation: EntryObservation) => void;
  readonly drawRequestId: () => RequestId;
}

/** The route on which callers ask which entries to use. */
export interface LookupRoute {
  answer(order: AnswerOrder): void;
}

interface LookupQuery {
  readonly organisation?: string;
  readonly set?: string;
}

/** Adds the route to a server. */
export function createLookupRoute(options: LookupRouteOptions): LookupRoute {
  const open = new Map<RequestId, FastifyReply>();
  options.server.get<{Querystring: LookupQuery}>(
    '/v1/addresses',
    (request, reply) => {
      const {organisation = '', set = ''} = request.query;
      if (!isIdentifier(organisation) || !isIdentifier(set)) {
        const detail = 'organisation and set must be identifiers';
        void reply
          .code(400)
          .type(PROBLEM_MEDIA_TYPE)
          .send(createBadRequestProblem(400, detail));
        return;
      }
      const correlation = options.drawRequestId();
      open.set(correlation, reply);
      options.post({
        kind: 'addressesRequested',
        correlation,
        organisation: organisation as OrganisationId,
        set: set as EndpointSetId,
      });
    },
  );
  return {
    answer: order => {
      const reply = open.get(order.correlation);
      open.delete(order.correlation);
      void reply?.send({
        lifetimeMs: order.lifetimeMs,
        addresses: order.addresses.map(({http, domain}) => ({
          url: `http://${http.host}:${http.port}`,
          domain,
        })),
      });
    },
  };
}
