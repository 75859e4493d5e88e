import {pickFallbacks} from '@gentianshunt/addressLookup';
import type {
  CallerOrder,
  EntryObservation,
  Refusal,
} from '@gentianshunt/entryModel';
import type {NodeId, RequestId} from '@gentianshunt/identifiers';
import type {
  ClaimOutcome,
  DirectoryEntry,
  EntryDirectory,
} from '@gentianshunt/messages';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';

import {createCallerTable, sendProblem} from './callerTable.js';
import type {CallerTable, ForwardedRequest} from './callerTable.js';
import {createIntakeGate} from './intakeGate.js';
import {createLookupRoute} from './lookupRoute.js';
import {createBadRequestProblem, toProblem} from './problem.js';
import type {CallerAddress} from './problem.js';
import {addProblemHandlers} from './problemHandlers.js';
import {parseChatRequest, parseServiceRequest} from './requestForm.js';
import type {ParsedRequest} from './requestForm.js';
import {createStreamClient} from './streamClient.js';

/** What the caller front needs. */
export interface CallerFrontOptions {
  readonly server: FastifyInstance;
  readonly post: (observation: EntryObservation) => void;
  readonly readDirectory: () => EntryDirectory;
  readonly drawRequestId: () => RequestId;
  /** This entry, which is no fallback for itself. */
  readonly self: NodeId;
  /** Bytes of request bodies held at which reading stops. */
  readonly maxHeldBytes: number;
}

/** The HTTP front for callers. */
export interface CallerFront {
  perform(order: CallerOrder): void;
  close(): Promise<void>;
}

/** Adds the callers' routes to a server. */
export function createCallerFront(options: CallerFrontOptions): CallerFront {
  const callers = createCallerTable();
  const streams = createStreamClient({callers, post: options.post});
  const {server, maxHeldBytes} = options;
  addProblemHandlers(server);
  createIntakeGate({server, callers, maxHeldBytes});
  addRoutes(options, callers);
  const lookups = createLookupRoute(options);
  return {
    perform: order => {
      switch (order.kind) {
        case 'openStream':
          streams.open(order.request, order.dispatch);
          return;
        case 'resumeStream':
          streams.resume(order.dispatch, order.fromEvent);
          return;
        case 'cancelStream':
          streams.cancel(order.dispatch);
          return;
        case 'refuseCaller': {
          const caller = callers.find(order.refusal.request);
          callers.remove(order.refusal.request);
          if (caller !== undefined) {
            const addresses = listFallbacks(options, order.refusal);
            sendProblem(caller.response, toProblem(order.refusal, addresses));
          }
          return;
        }
        case 'repeatAnswer':
          repeatAnswer(callers, order.request, order.outcome);
          return;
        case 'answerAddresses':
          lookups.answer(order);
          return;
      }
    },
    close: () => streams.close(),
  };
}

function addRoutes(options: CallerFrontOptions, callers: CallerTable): void {
  const {server} = options;
  server.post('/v1/chat/completions', (request, reply) => {
    const body = request.body as Buffer;
    const id = options.drawRequestId();
    const parsed = parseChatRequest({id, headers: request.headers, body});
    accept(options, callers, request, reply, parsed, {
      method: 'POST',
      path: '/v1/chat/completions',
      contentType: 'application/json',
      body,
      framing: 'eventStream',
    });
  });
  server.route<{Params: {set: string; '*': string}}>({
    method: ['GET', 'POST'],
    url: '/v1/services/:set/*',
    handler: (request, reply) => {
      const body = (request.body as Buffer | undefined) ?? Buffer.alloc(0);
      const id = options.drawRequestId();
      const raw = {id, headers: request.headers, body};
      const parsed = parseServiceRequest(raw, request.params.set);
      accept(options, callers, request, reply, parsed, {
        method: request.method === 'GET' ? 'GET' : 'POST',
        path: `/${request.params['*']}`,
        contentType: request.headers['content-type'] ?? 'application/json',
        body,
        framing: 'contentLength',
      });
    },
  });
}

function toCallerAddress({address}: DirectoryEntry): CallerAddress {
  const {host, port} = address.http;
  return {url: `http://${host}:${port}`, domain: address.domain};
}

/** Lists other entries for a caller that this one cannot serve now. */
function listFallbacks(
  options: CallerFrontOptions,
  refusal: Refusal,
): readonly CallerAddress[] {
  const {kind} = refusal.reason;
  if (kind !== 'draining' && kind !== 'noLease') {
    return [];
  }
  const {entries} = options.readDirectory();
  const others = entries.filter(entry => entry.address.node !== options.self);
  return pickFallbacks(others, refusal.request).map(toCallerAddress);
}

function accept(
  options: CallerFrontOptions,
  callers: CallerTable,
  request: FastifyRequest,
  reply: FastifyReply,
  parsed: ParsedRequest,
  forwarded: ForwardedRequest,
): void {
  reply.hijack();
  const response = reply.raw;
  if (parsed.kind === 'malformed') {
    sendProblem(response, createBadRequestProblem(400, parsed.detail));
    return;
  }
  const {id} = parsed.facts;
  callers.add({request: id, forwarded, response});
  response.once('close', () => {
    if (callers.find(id) !== undefined) {
      callers.remove(id);
      options.post({kind: 'callerGone', request: id});
    }
  });
  options.post({kind: 'requestReceived', facts: parsed.facts});
}

function repeatAnswer(
  callers: CallerTable,
  request: RequestId,
  outcome: ClaimOutcome,
): void {
  const caller = callers.find(request);
  callers.remove(request);
  if (caller === undefined) {
    return;
  }
  const {response} = caller;
  if (outcome.kind === 'answered') {
    response.statusCode = outcome.status;
    response.setHeader('content-type', outcome.contentType);
    response.setHeader('x-repeated-answer', 'true');
    response.end(Buffer.from(outcome.body));
    return;
  }
  sendProblem(response, {
    type: 'urn:gentianshunt:problem:answerNotKept',
    title: 'The request ran once; its answer was too large to keep',
    status: 409,
    notRun: false,
    retryAfterMs: null,
    detail: null,
    addresses: [],
  });
}
