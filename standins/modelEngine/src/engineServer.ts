import type {ServerResponse} from 'node:http';

import {fastify} from 'fastify';
import type {FastifyInstance} from 'fastify';

import {createEngine} from './engine.js';
import type {Engine, EngineOptions, JobStream} from './engine.js';
import {addOrderRoute} from './orderRoute.js';
import type {FencingMode} from './orderRoute.js';

/** Options of the engine's HTTP server. */
export interface EngineServerOptions {
  readonly host: string;
  readonly port: number;
  readonly engine: EngineOptions;
  /** Defaults to `checks`. */
  readonly fencing?: FencingMode;
}

/** A running engine with its HTTP server. */
export interface EngineServer {
  readonly engine: Engine;
  readonly url: string;
  /** Closes the connection of every open stream before its end mark. */
  breakStreams(): void;
  close(): Promise<void>;
}

const DEFAULT_OUTPUT_TOKENS = 16;
const CHARACTERS_PER_TOKEN = 4;
const PREFIX_CHARACTERS = 1_024;

interface ChatBody {
  readonly messages: readonly {readonly content: string}[];
  readonly max_tokens?: number;
}

/** Starts an engine that serves the chat completion API with streaming. */
export async function createEngineServer(
  options: EngineServerOptions,
): Promise<EngineServer> {
  const engine = createEngine(options.engine);
  const server = fastify({forceCloseConnections: true});
  const openResponses = new Set<ServerResponse>();
  let requestCount = 0;
  server.post('/v1/chat/completions', (request, reply) => {
    reply.hijack();
    const body = request.body as ChatBody;
    const prompt = body.messages.map(message => message.content).join('\n');
    requestCount += 1;
    const id = String(
      request.headers['x-dispatch-id'] ?? `local-${requestCount}`,
    );
    const stream = engine.submit({
      id,
      prefix: prompt.slice(0, PREFIX_CHARACTERS),
      promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
      outputTokens: body.max_tokens ?? DEFAULT_OUTPUT_TOKENS,
    });
    sendStream(engine, openResponses, reply.raw, id, stream, 0);
  });
  addResumeRoute(server, engine, openResponses);
  addOrderRoute(server, options.fencing ?? 'checks');
  addCancelRoute(server, engine);
  addTestRoutes(server, engine, openResponses);
  const url = await server.listen({host: options.host, port: options.port});
  return {
    engine,
    url,
    breakStreams: () => openResponses.forEach(response => response.destroy()),
    close: async () => {
      engine.close();
      await server.close();
    },
  };
}

/**
 * Writes a job's tokens as server-sent events, beginning with the given token.
 * When the connection closes, releases the job, so that it is cancelled if no
 * other reader follows.
 */
function sendStream(
  engine: Engine,
  openResponses: Set<ServerResponse>,
  response: ServerResponse,
  id: string,
  stream: JobStream,
  from: number,
): void {
  let sent = from;
  openResponses.add(response);
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'x-dispatch-id': id,
  });
  const send = (): void => {
    while (sent < stream.produced) {
      response.write(formatToken(id, sent));
      sent += 1;
    }
    if (stream.isFinished && !response.writableEnded) {
      response.end('data: [DONE]\n\n');
    }
  };
  response.once('close', () => {
    openResponses.delete(response);
    stream.offProgress(send);
    engine.release(id);
  });
  stream.onProgress(send);
  send();
}

function formatToken(id: string, index: number): string {
  const chunk = {id, choices: [{index: 0, delta: {content: `t${index} `}}]};
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

function addResumeRoute(
  server: FastifyInstance,
  engine: Engine,
  openResponses: Set<ServerResponse>,
): void {
  server.get<{Params: {id: string}; Querystring: {from?: string}}>(
    '/v1/streams/:id',
    (request, reply) => {
      const stream = engine.find(request.params.id);
      if (stream === undefined) {
        return reply.code(404).send({error: 'no such stream'});
      }
      reply.hijack();
      const from = Number(request.query.from ?? 0);
      sendStream(
        engine,
        openResponses,
        reply.raw,
        request.params.id,
        stream,
        from,
      );
      return undefined;
    },
  );
}

function addCancelRoute(server: FastifyInstance, engine: Engine): void {
  server.delete<{Params: {id: string}}>(
    '/v1/streams/:id',
    async (request, reply) => {
      engine.cancel(request.params.id);
      return reply.code(204).send();
    },
  );
}

function addTestRoutes(
  server: FastifyInstance,
  engine: Engine,
  openResponses: ReadonlySet<ServerResponse>,
): void {
  server.get('/counts', async () => engine.readCounts());
  server.post('/cut', async () => {
    openResponses.forEach(response => response.destroy());
    return {};
  });
  server.get('/load', async () => engine.readLoad());
  server.post<{Body: {factor: number}}>('/slowdown', async request => {
    engine.setSlowdown(request.body.factor);
    return {factor: request.body.factor};
  });
}
