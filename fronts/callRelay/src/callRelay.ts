import type {BoardView} from '@gentianshunt/board';
import type {Clock} from '@gentianshunt/clock';
import {refuseUnadmitted} from '@gentianshunt/entryModel';
import type {
  EntryObservation,
  EntryOrder,
  EntrySections,
  Refusal,
  RefusalReason,
} from '@gentianshunt/entryModel';
import {createRoutingTable, routeCall} from '@gentianshunt/routing';
import type {CallFacts, RoutingTable} from '@gentianshunt/routing';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';

import {sendOwnAnswer} from './answerWriter.js';
import type {CallHead, CallProtocol} from './callProtocol.js';
import {createCallTable} from './callTable.js';
import type {CallTable} from './callTable.js';
import {createEndpointStreams} from './endpointStream.js';

/** Orders that the relay carries out. */
export type RelayOrder = Extract<
  EntryOrder,
  {readonly kind: 'openStream' | 'cancelStream' | 'refuseCaller'}
>;

/** What the relay needs. */
export interface CallRelayOptions {
  readonly server: FastifyInstance;
  readonly protocol: CallProtocol;
  readonly view: BoardView<EntrySections>;
  readonly clock: Clock;
  readonly post: (observation: EntryObservation) => void;
  /** Hears of refusals that no order asked for. */
  readonly onRefused: (refusal: Refusal) => void;
}

/** The HTTP front for calls of routes. */
export interface CallRelay {
  perform(order: RelayOrder): void;
  close(): Promise<void>;
}

/** Time to come back after a call that no configuration covers yet. */
const UNREADY_RETRY_AFTER_MS = 500;

/** Adds the callers' route to a server; it takes every path. */
export function createCallRelay(options: CallRelayOptions): CallRelay {
  const {server, protocol} = options;
  const calls = createCallTable();
  const streams = createEndpointStreams({...options, calls});
  const findTable = createTableCache(options.view);
  server.route({
    method: ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS'],
    url: '/*',
    handler: (request, reply) =>
      takeCall(options, calls, findTable(), request, reply),
  });
  const refuse = (refusal: Refusal): void => {
    const call = calls.take(refusal.request);
    if (call !== undefined) {
      sendOwnAnswer(call.response, protocol.formatRefusal(refusal));
    }
  };
  return {
    perform: order => {
      switch (order.kind) {
        case 'openStream':
          streams.open(order.request, order.dispatch);
          return;
        case 'cancelStream':
          streams.cancel(order.dispatch);
          return;
        case 'refuseCaller':
          refuse(order.refusal);
          return;
      }
    },
    close: () => streams.close(),
  };
}

/** Arranges the routes anew only when the configuration has changed. */
function createTableCache(view: BoardView<EntrySections>): () => RoutingTable {
  let version = -1;
  let table = createRoutingTable(new Map());
  return () => {
    if (view.control.version !== version) {
      version = view.control.version;
      table = createRoutingTable(view.configuration);
    }
    return table;
  };
}

function takeCall(
  options: CallRelayOptions,
  calls: CallTable,
  table: RoutingTable,
  request: FastifyRequest,
  reply: FastifyReply,
): void {
  reply.hijack();
  const {raw} = request;
  const response = reply.raw;
  const head: CallHead = {
    method: raw.method ?? 'GET',
    url: raw.url ?? '/',
    headers: raw.rawHeaders,
  };
  const read = options.protocol.readCall(head);
  if (read.kind === 'malformed' || calls.find(read.facts.id) !== undefined) {
    const detail =
      read.kind === 'malformed' ? read.detail : 'the call is open already';
    sendOwnAnswer(response, options.protocol.formatMalformed(detail));
    return;
  }
  const body = (request.body as Buffer | undefined) ?? Buffer.alloc(0);
  openCall(options, calls, table, {head, facts: read.facts, body, response});
}

interface IncomingCall {
  readonly head: CallHead;
  readonly facts: CallFacts;
  readonly body: Buffer;
  readonly response: FastifyReply['raw'];
}

function openCall(
  options: CallRelayOptions,
  calls: CallTable,
  table: RoutingTable,
  {head, facts, body, response}: IncomingCall,
): void {
  const {clock, post, view, protocol} = options;
  const now = clock.readMonotonic();
  const resolved = routeCall(table, view.configuration, facts);
  if (resolved.kind === 'refused') {
    const isSure = view.control.leaseUntil > now;
    const reason: RefusalReason = isSure ? resolved.reason : {kind: 'noLease'};
    const refusal = refuseUnadmitted(facts, reason, UNREADY_RETRY_AFTER_MS);
    sendOwnAnswer(response, protocol.formatRefusal(refusal));
    post({kind: 'callerRefused', refusal});
    options.onRefused(refusal);
    return;
  }
  const {id} = facts;
  const limitMs = resolved.facts.terms!.timeLimitMs;
  const timer = setTimeout(
    () => post({kind: 'timeLimitReached', request: id}),
    limitMs,
  );
  const dueAt = now + limitMs;
  calls.add({id, head, body, response, dueAt, timer, lastEventId: null});
  response.once('close', () => {
    if (calls.take(id) !== undefined) {
      post({kind: 'callerGone', request: id});
    }
  });
  post({kind: 'requestReceived', facts: resolved.facts});
}
