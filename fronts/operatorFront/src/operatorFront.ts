import type {CommandProgress} from '@gentianshunt/entryModel';
import type {RequestId} from '@gentianshunt/identifiers';

import {addCommandRoute} from './commandRoute.js';
import type {OperatorFrontOptions} from './operatorFrontOptions.js';
import {guardScope} from './operatorScope.js';
import {createProgressWaiters} from './progressWaiters.js';
import {addQueryRoutes} from './queryRoute.js';

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
