import {readInstant} from '@gentianshunt/clock';
import {formatOverview, formatTopic} from '@gentianshunt/commands';
import {createSemanticIssue, parseText} from '@gentianshunt/grammar';
import type {LanguageIssue, ShowStatement} from '@gentianshunt/grammar';
import type {
  CommandNumber,
  ControlQuery,
  ControlQueryResult,
} from '@gentianshunt/messages';
import {
  findTable,
  formatTableHelp,
  formatTables,
  runQuery,
  TABLES,
} from '@gentianshunt/queries';
import type {QueryResult} from '@gentianshunt/queries';
import type {FastifyInstance} from 'fastify';
import * as z from 'zod';

import type {OperatorFrontOptions} from './operatorFrontOptions.js';
import type {ProgressWaiters} from './progressWaiters.js';
import {queryControl} from './queryControl.js';
import {readBody} from './readBody.js';

/** Longest wait for an answer of the control daemons. */
export const QUERY_WAIT_MS = 5_000;

const queryBody = z.strictObject({text: z.string()});

/** The reply to an operator's query. */
export type QueryReply =
  | {readonly kind: 'rows'; readonly result: QueryResult}
  | {readonly kind: 'help'; readonly text: string}
  | {readonly kind: 'issue'; readonly issue: LanguageIssue}
  /** The control daemons did not answer in time. */
  | {readonly kind: 'unavailable'};

/** The numbers that new commands may use. */
export interface NumberReply {
  readonly nextFree: CommandNumber;
  /** Lower numbers are refused. */
  readonly floor: CommandNumber;
}

const STATUS_CODES: Readonly<Record<QueryReply['kind'], number>> = {
  rows: 200,
  help: 200,
  issue: 400,
  unavailable: 503,
};

/** Adds the routes for queries and for the next command number. */
export function addQueryRoutes(
  scope: FastifyInstance,
  options: OperatorFrontOptions,
  waiters: ProgressWaiters,
): void {
  scope.post('/v1/operator/query', async (request, reply) => {
    const body = readBody(queryBody, request.body);
    if (body === undefined) {
      return reply
        .code(400)
        .send({kind: 'malformed', message: 'expected {"text": "..."}'});
    }
    const answer = await answerText(options, waiters, body.text);
    return reply.code(STATUS_CODES[answer.kind]).send(answer);
  });
  scope.get('/v1/operator/next-number', async (_request, reply) => {
    const query: ControlQuery = {kind: 'commands', limit: 0};
    const result = await runControlQuery(options, waiters, query);
    if (result?.kind !== 'commands') {
      return reply.code(503).send({kind: 'unavailable'});
    }
    const {nextFree, floor} = result;
    const numbers: NumberReply = {nextFree, floor};
    return numbers;
  });
}

async function answerText(
  options: OperatorFrontOptions,
  waiters: ProgressWaiters,
  text: string,
): Promise<QueryReply> {
  const parsed = parseText(text);
  if (parsed.kind === 'failed') {
    return {kind: 'issue', issue: parsed.issue};
  }
  const [statement, second] = parsed.statements;
  if (second !== undefined) {
    const message = 'a query stands alone';
    return {
      kind: 'issue',
      issue: createSemanticIssue(message, second.position),
    };
  }
  switch (statement!.kind) {
    case 'help':
      return {kind: 'help', text: formatHelp(statement!.topic)};
    case 'show':
      return answerShow(options, waiters, statement!);
    default: {
      const message = `${statement!.kind} is a command, not a query`;
      const issue = createSemanticIssue(message, statement!.position, [
        'show',
        'help',
      ]);
      return {kind: 'issue', issue};
    }
  }
}

function formatHelp(topic: string | null): string {
  const overview = `${formatOverview()}\n${formatTables()}`;
  if (topic === null) {
    return overview;
  }
  const found = [formatTopic(topic), formatTableHelp(topic)].filter(
    text => text !== undefined,
  );
  return found.length === 0
    ? `There is no help on ${topic}.\n${overview}`
    : found.join('\n');
}

async function answerShow(
  options: OperatorFrontOptions,
  waiters: ProgressWaiters,
  statement: ShowStatement,
): Promise<QueryReply> {
  const table = findTable(statement.table);
  if (table === undefined) {
    const message = `there is no table ${statement.table}`;
    const names = TABLES.map(({name}) => name);
    const issue = createSemanticIssue(message, statement.position, names);
    return {kind: 'issue', issue};
  }
  const control =
    table.controlQuery === null
      ? null
      : await runControlQuery(options, waiters, table.controlQuery);
  if (table.controlQuery !== null && control === null) {
    return {kind: 'unavailable'};
  }
  const rows = table.listRows({
    board: options.view,
    ...readInstant(options.clock),
    controlResult: control,
  });
  const outcome = runQuery({statement, columns: table.columns, rows});
  return outcome.kind === 'failed'
    ? {kind: 'issue', issue: outcome.issue}
    : {kind: 'rows', result: outcome.result};
}

function runControlQuery(
  options: OperatorFrontOptions,
  waiters: ProgressWaiters,
  query: ControlQuery,
): Promise<ControlQueryResult | null> {
  const {post, drawRequestId} = options;
  const timeoutMs = QUERY_WAIT_MS;
  return queryControl({query, timeoutMs, post, waiters, drawRequestId});
}
