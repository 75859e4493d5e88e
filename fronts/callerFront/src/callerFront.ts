import {pickFallbacks} from '@gentianshunt/addressLookup';
import {refuseIfOverloaded} from '@gentianshunt/entryModel';
import type {
  CallerEffect,
  EntryObservation,
  Refusal,
} from '@gentianshunt/entryModel';
import type {NodeId, RequestId} from '@gentianshunt/identifiers';
import type {
  ClaimOutcome,
  DirectoryEntry,
  EntryDirectory,
} from '@gentianshunt/messages';
import type {LoopMonitor} from '@gentianshunt/runtime';
import type {FastifyReply, FastifyRequest} from 'fastify';

import {addCallerBodies} from './callerBodies.js';
import type {CallerBodiesOptions} from './callerBodies.js';
import {createCallerTable, sendProblem} from './callerTable.js';
import type {CallerTable, ForwardedRequest} from './callerTable.js';
import {checkEndpoint} from './endpointProbe.js';
import {hasDisconnected} from './hasDisconnected.js';
import {createLookupRoute} from './lookupRoute.js';
import {createBadRequestProblem, toProblem} from './problem.js';
import type {CallerAddress} from './problem.js';
import {addProblemHandlers} from './problemHandlers.js';
import {parseChatRequest, parseServiceRequest} from './requestParser.js';
import type {ParsedRequest} from './requestParser.js';
import {CONNECT_TIMEOUT_MS, createStreamClient} from './streamClient.js';

/** Options of the HTTP interface for callers. */
export interface CallerFrontOptions extends CallerBodiesOptions {
  readonly loop: LoopMonitor;
  readonly post: (observation: EntryObservation) => void;
  readonly readDirectory: () => EntryDirectory;
  readonly drawRequestId: () => RequestId;
  /** This entry, which is omitted from the fallback addresses. */
  readonly self: NodeId;
}

/** The HTTP interface for callers. */
export interface CallerFront {
  /** Executes an effect that the entry has decided on. */
  perform(effect: CallerEffect): void;
  close(): Promise<void>;
}

/** Adds the routes for callers to a server. */
export function createCallerFront(options: CallerFrontOptions): CallerFront {
  const callers = createCallerTable(options.gate);
  const {loop, post} = options;
  const streams = createStreamClient({callers, loop, post});
  addProblemHandlers(options.server);
  addCallerBodies(options);
  addRoutes(options, callers);
  const lookups = createLookupRoute(options);
  return {
    perform: effect => {
      switch (effect.kind) {
        case 'openStream':
          streams.open(effect.request, effect.dispatch);
          return;
        case 'resumeStream':
          streams.resume(effect.dispatch, effect.fromEvent);
          return;
        case 'cancelStream':
          streams.cancel(effect.dispatch);
          return;
        case 'probeEndpoint':
          checkEndpoint(effect.target, CONNECT_TIMEOUT_MS, post);
          return;
        case 'relayCall':
        case 'cancelRelay':
          // Callers of this front are referred to other entries instead.
          return;
        case 'releaseAnswer':
          // Only answers of routes are held, which this front does not have.
          return;
        case 'refuseCaller': {
          const caller = callers.find(effect.refusal.request);
          callers.remove(effect.refusal.request);
          if (caller !== undefined) {
            const addresses = listFallbacks(options, effect.refusal);
            sendProblem(caller.response, toProblem(effect.refusal, addresses));
          }
          return;
        }
        case 'repeatAnswer':
          resendAnswer(callers, effect.request, effect.outcome);
          return;
        case 'answerAddresses':
          lookups.answer(effect);
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
    const {method, url, headers} = request;
    const parsed = parseChatRequest({id, method, url, headers, body});
    receiveRequest(options, callers, request, reply, parsed, {
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
      const {method, url, headers} = request;
      const raw = {id, method, url, headers, body};
      const parsed = parseServiceRequest(raw, request.params.set);
      receiveRequest(options, callers, request, reply, parsed, {
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

/** Lists other entries for a caller when this entry cannot serve it now. */
function listFallbacks(
  options: CallerFrontOptions,
  refusal: Refusal,
): readonly CallerAddress[] {
  const {kind} = refusal.reason;
  if (kind !== 'draining' && kind !== 'noLease' && kind !== 'overloaded') {
    return [];
  }
  const {entries} = options.readDirectory();
  const others = entries.filter(entry => entry.address.node !== options.self);
  return pickFallbacks(others, refusal.request).map(toCallerAddress);
}

/** Registers the caller and posts the request to the board. */
function receiveRequest(
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
  const {attributes} = parsed;
  const overload = refuseIfOverloaded(attributes, options.loop.readLag());
  if (overload !== undefined) {
    const addresses = listFallbacks(options, overload);
    sendProblem(response, toProblem(overload, addresses));
    options.post({kind: 'callerRefused', refusal: overload});
    return;
  }
  const {id} = attributes;
  callers.add({request: id, forwarded, response});
  response.once('close', () => {
    if (callers.find(id) !== undefined) {
      callers.remove(id);
      options.post({kind: 'callerGone', request: id});
    }
  });
  options.loop.runOnceRead(() => {
    if (callers.find(id) !== undefined && !hasDisconnected(request.raw)) {
      options.post({kind: 'requestReceived', attributes});
    }
  });
}

/** Answers a caller with the stored outcome of an earlier run. */
function resendAnswer(
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
