import type {OperatorId} from '@gentianshunt/identifiers';
import type {FastifyInstance, FastifyRequest} from 'fastify';

import {findOperator} from './operatorAccess.js';
import type {OperatorAccess} from './operatorAccess.js';

/** Header that names the operator when access is insecure. */
export const OPERATOR_HEADER = 'x-operator';

const operators = new WeakMap<FastifyRequest, OperatorId>();

/** Rejects requests to the routes of a scope that are not from an operator. */
export function guardScope(
  scope: FastifyInstance,
  access: OperatorAccess,
): void {
  scope.addHook('onRequest', async (request, reply) => {
    const name = request.headers[OPERATOR_HEADER];
    const operator = findOperator(access, {
      authorization: request.headers.authorization,
      name: typeof name === 'string' ? name : undefined,
    });
    if (operator === undefined) {
      return reply
        .code(401)
        .header('www-authenticate', 'Bearer')
        .send({kind: 'unauthorized', message: 'the key is missing or unknown'});
    }
    operators.set(request, operator);
    return undefined;
  });
}

/** Reads the operator that sent a request to a guarded scope. */
export function readOperator(request: FastifyRequest): OperatorId {
  return operators.get(request)!;
}
