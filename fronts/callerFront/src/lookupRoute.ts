import type {EntryEffect, EntryObservation} from '@gentianshunt/entryModel';
import {isIdentifier} from '@gentianshunt/identifiers';
import type {
  EndpointSetId,
  OrganisationId,
  RequestId,
} from '@gentianshunt/identifiers';
import type {FastifyInstance, FastifyReply} from 'fastify';

import {createBadRequestProblem, PROBLEM_MEDIA_TYPE} from './problem.js';

type AnswerAddressesEffect = Extract<
  EntryEffect,
  {readonly kind: 'answerAddresses'}
>;

/** Options of the lookup route. */
export interface LookupRouteOptions {
  readonly server: FastifyInstance;
  readonly post: (observation: EntryObservation) => void;
  readonly drawRequestId: () => RequestId;
}

/** The route on which callers look up the entries to use. */
export interface LookupRoute {
  /** Sends the addresses to the caller that requested them. */
  answer(effect: AnswerAddressesEffect): void;
}

interface LookupQuery {
  readonly organisation?: string;
  readonly set?: string;
}

/** Adds the lookup route to a server. */
export function createLookupRoute(options: LookupRouteOptions): LookupRoute {
  const pendingReplies = new Map<RequestId, FastifyReply>();
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
      pendingReplies.set(correlation, reply);
      options.post({
        kind: 'addressesRequested',
        correlation,
        organisation: organisation as OrganisationId,
        set: set as EndpointSetId,
      });
    },
  );
  return {
    answer: effect => {
      const reply = pendingReplies.get(effect.correlation);
      pendingReplies.delete(effect.correlation);
      void reply?.send({
        lifetimeMs: effect.lifetimeMs,
        addresses: effect.addresses.map(({http, domain}) => ({
          url: `http://${http.host}:${http.port}`,
          domain,
        })),
      });
    },
  };
}
