import type {RefusalRecord, RequestState} from '@gentianshunt/entryModel';

import {defineBoolean, defineNumber, defineTable, defineText} from './table.js';
import type {ColumnSpec, QuerySources} from './table.js';

const REQUEST_COLUMNS: readonly ColumnSpec<RequestState>[] = [
  defineText('request', state => state.request.id),
  defineText('state', state => state.kind),
  defineText('tier', state => state.request.tier),
  defineText('organisation', state => state.request.organisation),
  defineText('set', state => state.request.set),
  defineText('kind', state => state.request.kind),
  defineText('endpoint', readEndpoint),
  defineNumber('age-ms', (state, {monotonic}) =>
    Math.round(monotonic - state.request.arrivedAt),
  ),
  defineNumber('prompt-tokens', state => state.request.promptTokens),
  defineText('entry', (_state, {board}) => board.identity.address.node),
];

function readEndpoint(state: RequestState): string | null {
  return isRunning(state) ? state.dispatch.target.endpoint : null;
}

function isRunning(
  state: RequestState,
): state is Extract<RequestState, {readonly kind: 'dispatched' | 'answering'}> {
  return state.kind === 'dispatched' || state.kind === 'answering';
}

function listRequests({board}: QuerySources): readonly RequestState[] {
  return [...board.requests.values()];
}

/** All requests of the queried entry. */
export const REQUESTS_TABLE = defineTable({
  name: 'requests',
  help: 'Waiting and running requests of the queried entry.',
  scope: 'entry',
  columns: REQUEST_COLUMNS,
  list: listRequests,
});

/** Requests that are not dispatched. */
export const WAITING_TABLE = defineTable({
  name: 'waiting',
  help: 'Waiting requests of the queried entry.',
  scope: 'entry',
  columns: REQUEST_COLUMNS,
  list: sources => listRequests(sources).filter(state => !isRunning(state)),
});

/** Requests that are dispatched to an endpoint. */
export const RUNNING_TABLE = defineTable({
  name: 'running',
  help: 'Requests of the queried entry that run at endpoints.',
  scope: 'entry',
  columns: REQUEST_COLUMNS,
  list: sources => listRequests(sources).filter(isRunning),
});

/** Recently refused requests of the queried entry, latest first. */
export const REFUSED_TABLE = defineTable<RefusalRecord>({
  name: 'refused',
  help: 'Recently refused requests of the queried entry.',
  scope: 'entry',
  columns: [
    defineNumber('number', record => record.number),
    defineText('at', record => record.at.toISOString()),
    defineText('request', record => record.refusal.request),
    defineText('reason', record => record.refusal.reason.kind),
    defineBoolean('not-run', record => record.refusal.notRun),
    defineNumber('retry-after-ms', record => record.refusal.retryAfterMs),
    defineText('tier', record => record.request?.tier ?? null),
    defineText('organisation', record => record.request?.organisation ?? null),
    defineText('set', record => record.request?.set ?? null),
    defineText('kind', record => record.request?.kind ?? null),
    defineText('entry', (_record, {board}) => board.identity.address.node),
  ],
  list: ({board}) =>
    Array.from(board.refusals.iterateFrom(), ({value}) => value).reverse(),
});
