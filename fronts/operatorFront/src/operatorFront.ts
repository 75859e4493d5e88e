import type {BoardView} from '@gentianshunt/board';
import type {Clock} from '@gentianshunt/clock';
import type {
  CommandProgress,
  EntryObservation,
  EntrySections,
} from '@gentianshunt/entryModel';
import type {RequestId} from '@gentianshunt/identifiers';
import type {FastifyInstance} from 'fastify';

import {addCommandRoute} from './commandRoute.js';
import type {OperatorAccess} from './operatorAccess.js';
import {guardScope} from './operatorScope.js';
import {createProgressWaiters} from './progressWaiters.js';
import {addQueryRoutes} from './queryRoute.js';

/** Options of the HTTP interface for operators. */
export interface OperatorFrontOptions {
  readonly server: FastifyInstance;
  readonly post: (observation: EntryObservation) => void;
  readonly view: BoardView<EntrySections>;
  readonly clock: Clock;
  readonly access: OperatorAccess;
  readonly drawRequestId: () => RequestId;
}

/** The HTTP interface for operators. */
export interface OperatorFront {
  /** Receives the progress of a command or query posted by a route. */
  answer(correlation: RequestId, progress: CommandProgress): void;
}

/** Adds the routes for operators to a server. */
export function createOperatorFront(
  options: OperatorFrontOptions,
): OperatorFront {
  const waiters = createProgressWaiters();
  void options.server.register(async scope => {
    guardScope(scope, options.access);
    addCommandRoute(scope, options, waiters);
    addQueryRoutes(scope, options, waiters);
  });
  return {answer: waiters.answer};
}
