import {createHash} from 'node:crypto';

import type {ObjectCommand} from '@gentianshunt/configuration';
import type {
  CommandProgress,
  EntryObservation,
  EntrySections,
} from '@gentianshunt/entryModel';
import type {BoardView} from '@gentianshunt/board';
import type {OperatorId, RequestId} from '@gentianshunt/identifiers';
import type {FastifyInstance} from 'fastify';
import {z} from 'zod';

/** Longest wait for a command to be in force, in milliseconds. */
export const COMMAND_WAIT_MS = 10_000;

const commandBody = z.strictObject({
  number: z.int().positive(),
  operator: z.string().min(1),
  commands: z.array(z.unknown()).min(1),
});

/** What the operator front needs. */
export interface OperatorFrontOptions {
  readonly server: FastifyInstance;
  readonly post: (observation: EntryObservation) => void;
  readonly view: BoardView<EntrySections>;
  readonly drawRequestId: () => RequestId;
}

/** The HTTP front for operators. */
export interface OperatorFront {
  /** Takes the progress of a command that the front has posted. */
  answer(correlation: RequestId, progress: CommandProgress): void;
}

type Waiter = (progress: CommandProgress) => void;

/** Adds the operators' routes to a server. */
export function createOperatorFront(
  options: OperatorFrontOptions,
): OperatorFront {
  const waiters = new Map<RequestId, Waiter>();
  addCommandRoute(options, waiters);
  addQueryRoutes(options);
  return {
    answer: (correlation, progress) => waiters.get(correlation)?.(progress),
  };
}

function addCommandRoute(
  options: OperatorFrontOptions,
  waiters: Map<RequestId, Waiter>,
): void {
  options.server.post('/v1/operator/commands', async (request, reply) => {
    const parsed = parseCommand(request.body as Buffer);
    if (parsed === undefined) {
      return reply.code(400).send({error: 'the command is malformed'});
    }
    const correlation = options.drawRequestId();
    const operator = parsed.operator as OperatorId;
    const final = awaitFinal(waiters, correlation);
    options.post({
      kind: 'commandReceived',
      correlation,
      operator,
      command: {
        number: parsed.number,
        operator,
        digest: createHash('sha256')
          .update(JSON.stringify(parsed.commands))
          .digest('base64url'),
        commands: parsed.commands as readonly ObjectCommand[],
      },
    });
    return final;
  });
}

function parseCommand(body: Buffer): z.infer<typeof commandBody> | undefined {
  try {
    return commandBody.parse(JSON.parse(body.toString('utf8')));
  } catch {
    return undefined;
  }
}

/** Waits until a command is in force, refused or given up. */
function awaitFinal(
  waiters: Map<RequestId, Waiter>,
  correlation: RequestId,
): Promise<CommandProgress | {readonly kind: 'timedOut'}> {
  return new Promise(resolve => {
    const timer = setTimeout(() => {
      waiters.delete(correlation);
      resolve({kind: 'timedOut'});
    }, COMMAND_WAIT_MS);
    waiters.set(correlation, progress => {
      if (isFinal(progress)) {
        clearTimeout(timer);
        waiters.delete(correlation);
        resolve(progress);
      }
    });
  });
}

function isFinal(progress: CommandProgress): boolean {
  switch (progress.kind) {
    case 'force':
      return progress.status.isInForce;
    case 'queried':
      return true;
    case 'answered':
      return (
        progress.answer.kind !== 'applied' ||
        progress.answer.result.kind === 'refused'
      );
  }
}

function addQueryRoutes(options: OperatorFrontOptions): void {
  const {server, view} = options;
  server.get('/v1/operator/requests', async () =>
    [...view.requests.values()].map(state => ({
      id: state.request.id,
      state: state.kind,
      tier: state.request.tier,
      organisation: state.request.organisation,
      set: state.request.set,
      kind: state.request.kind,
      endpoint: 'dispatch' in state ? state.dispatch.target.endpoint : null,
    })),
  );
  server.get('/v1/operator/endpoints', async () =>
    [...view.endpoints.iterateFrom()].map(({value}) => ({
      endpoint: value.announcement.endpoint,
      set: value.announcement.set,
      state: value.state,
      concurrency: value.announcement.concurrency,
    })),
  );
  server.get('/v1/operator/configuration', async () => ({
    version: view.control.version,
    objects: [...view.configuration.values()],
  }));
}
