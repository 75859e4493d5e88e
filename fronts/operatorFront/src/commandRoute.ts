import {createHash} from 'node:crypto';

import {compileCommands, toOutcome} from '@gentianshunt/commands';
import type {CommandOutcome} from '@gentianshunt/commands';
import type {CommandProgress} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import {parseText} from '@gentianshunt/grammar';
import type {LanguageIssue} from '@gentianshunt/grammar';
import type {
  CommandAnswer,
  InForceStatus,
  OperatorCommand,
} from '@gentianshunt/messages';
import type {OperatorId} from '@gentianshunt/identifiers';
import type {FastifyInstance} from 'fastify';
import * as z from 'zod';

import type {OperatorFrontOptions} from './operatorFrontOptions.js';
import {readOperator} from './operatorScope.js';
import type {ProgressWaiters} from './progressWaiters.js';
import {readBody} from './readBody.js';

/** Longest wait for the changes of a command to be in force. */
export const COMMAND_WAIT_MS = 10_000;

const commandBody = z.strictObject({
  number: z.int().positive(),
  text: z.string(),
  wait: z.enum(['accepted', 'inForce']).default('inForce'),
  wait_ms: z.int().min(0).max(COMMAND_WAIT_MS).default(COMMAND_WAIT_MS),
});

type CommandBody = z.infer<typeof commandBody>;

/** Adds the route for commands in the operators' language. */
export function addCommandRoute(
  scope: FastifyInstance,
  options: OperatorFrontOptions,
  waiters: ProgressWaiters,
): void {
  scope.post('/v1/operator/commands', async (request, reply) => {
    const body = readBody(commandBody, request.body);
    if (body === undefined) {
      return reply.code(400).send({
        kind: 'malformed',
        message: 'expected {"number": 1, "text": "..."}',
      });
    }
    const compiled = compileText(body.text);
    if (compiled.kind === 'failed') {
      return reply.code(400).send({kind: 'issue', issue: compiled.issue});
    }
    const operator = readOperator(request);
    const command = createCommand(body, operator, compiled.commands);
    const outcome = await runCommand(options, waiters, body, command);
    return reply.code(toStatusCode(outcome)).send(outcome);
  });
}

type CompiledText =
  | {
      readonly kind: 'compiled';
      readonly commands: OperatorCommand['commands'];
    }
  | {readonly kind: 'failed'; readonly issue: LanguageIssue};

function compileText(text: string): CompiledText {
  const parsed = parseText(text);
  if (parsed.kind === 'failed') {
    return parsed;
  }
  const compiled = compileCommands(parsed.statements);
  return compiled.kind === 'failed'
    ? compiled
    : {kind: 'compiled', commands: compiled.result};
}

function createCommand(
  body: CommandBody,
  operator: OperatorId,
  commands: OperatorCommand['commands'],
): OperatorCommand {
  const digest = createHash('sha256').update(body.text).digest('base64url');
  return {number: body.number, operator, digest, commands};
}

async function runCommand(
  options: OperatorFrontOptions,
  waiters: ProgressWaiters,
  body: CommandBody,
  command: OperatorCommand,
): Promise<CommandOutcome> {
  const correlation = options.drawRequestId();
  let answer: CommandAnswer | null = null;
  let status: InForceStatus | null = null;
  const done = waiters.await({
    correlation,
    timeoutMs: body.wait_ms,
    onProgress: progress => {
      answer = progress.kind === 'answered' ? progress.answer : answer;
      status = progress.kind === 'force' ? progress.status : status;
      return isFinal(progress, body.wait);
    },
  });
  const {operator} = command;
  options.post({kind: 'commandReceived', correlation, operator, command});
  await done;
  return toOutcome(body.number, answer, status);
}

/** Returns whether no further progress of a command is awaited. */
function isFinal(
  progress: CommandProgress,
  wait: CommandBody['wait'],
): boolean {
  switch (progress.kind) {
    case 'answered': {
      const {answer} = progress;
      const isAccepted =
        answer.kind === 'applied' && answer.result.kind === 'accepted';
      return !isAccepted;
    }
    case 'force':
      return wait === 'accepted' || progress.status.isInForce;
    case 'queried':
    case 'replaced':
      return false;
    case 'unanswered':
      return true;
    default:
      return assertNever(progress, 'isFinal');
  }
}

function toStatusCode(outcome: CommandOutcome): number {
  switch (outcome.kind) {
    case 'inForce':
      return 200;
    case 'accepted':
      return 202;
    case 'refused':
    case 'numberTaken':
    case 'numberForgotten':
    case 'numberTooHigh':
      return 409;
    case 'undecided':
      return 504;
    default:
      return assertNever(outcome, 'toStatusCode');
  }
}
