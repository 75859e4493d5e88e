import type {BoardView} from '@gentianshunt/board';
import {checkEndpoint, hasDisconnected} from '@gentianshunt/callerFront';
import {isLeaseValid, readInstant} from '@gentianshunt/clock';
import type {Clock, Milliseconds} from '@gentianshunt/clock';
import {assertNever} from '@gentianshunt/errors';
import {
  addBodyParser,
  createEmptyBody,
  findReceivedBody,
} from '@gentianshunt/requestBodies';
import type {
  MemoryGate,
  ReceivedBody,
  RequestBody,
} from '@gentianshunt/requestBodies';
import {
  isResumableStream,
  refuseIfOverloaded,
  refuseUnadmitted,
} from '@gentianshunt/entryModel';
import type {
  EntryEffect,
  EntryObservation,
  EntrySections,
  Refusal,
  RefusalReason,
} from '@gentianshunt/entryModel';
import {routeCall} from '@gentianshunt/routing';
import type {CallAttributes, RoutingTable} from '@gentianshunt/routing';
import {startTimer} from '@gentianshunt/runtime';
import type {LoopMonitor} from '@gentianshunt/runtime';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';

import {createAnswerHold} from './answerHold.js';
import {sendSchedulerAnswer} from './answerWriter.js';
import {digestCall} from './callFingerprint.js';
import type {CallHead, CallProtocol} from './callProtocol.js';
import type {CallStep} from './callStep.js';
import {createCallTable} from './callTable.js';
import type {CallTable} from './callTable.js';
import {CONNECT_TIMEOUT_MS} from './connectionPools.js';
import {createEndpointStreams} from './endpointStream.js';
import {guardCall} from './guardCall.js';
import {toHead} from './rawHeaders.js';
import {readCallTerms} from './readCallTerms.js';
import {createRelayedCalls} from './relayedCalls.js';
import {createRoutingTableCache} from './routingTableCache.js';
import {decideUnreadAnswer} from './unreadCalls.js';
import type {UnreadBody} from './unreadCalls.js';

/** The effects that the relay executes. */
export type RelayEffect = Extract<
  EntryEffect,
  {
    readonly kind:
      | 'openStream'
      | 'cancelStream'
      | 'relayCall'
      | 'cancelRelay'
      | 'probeEndpoint'
      | 'releaseAnswer'
      | 'refuseCaller';
  }
>;

/** Options of the relay. */
export interface CallRelayOptions {
  readonly server: FastifyInstance;
  readonly protocol: CallProtocol;
  readonly view: BoardView<EntrySections>;
  readonly clock: Clock;
  readonly loop: LoopMonitor;
  /** Memory for the bodies of calls and for unread answers. */
  readonly gate: MemoryGate;
  /** Largest body of a call, in bytes. */
  readonly maxBodyBytes: number;
  readonly post: (observation: EntryObservation) => void;
  /** The port at which other entries pass calls on; `null` without one. */
  readonly relayPort: number | null;
  /** Called with the refusals that the relay decides on by itself. */
  readonly onRefused: (refusal: Refusal) => void;
  /** Called with what happens to calls at their connections. */
  readonly onStep: (step: CallStep) => void;
}

/** The HTTP interface for calls to configured routes. */
export interface CallRelay {
  /** Executes an effect that the entry has decided on. */
  perform(effect: RelayEffect): void;
  close(): Promise<void>;
}

/** Retry time sent with the refusal of a call that cannot be routed. */
const UNROUTED_RETRY_AFTER_MS = 500;

/** Promises nothing: the call may have been dispatched before the error. */
const UNEXPECTED_ERROR_ANSWER = {
  status: 500,
  headers: [],
  body: 'unexpected error',
};

/** Adds a route for calls to a server; it matches every path. */
export function createCallRelay(options: CallRelayOptions): CallRelay {
  const {server, protocol} = options;
  const calls = createCallTable();
  const streams = createEndpointStreams({...options, calls});
  const relayed = createRelayedCalls({...options, calls});
  const readRoutingTable = createRoutingTableCache(options.view);
  addBodyParser(server, ({raw}) => ({
    gate: options.gate,
    clock: options.clock,
    maxBytes: options.maxBodyBytes,
    readTerms: () =>
      readCallTerms(protocol, options.view, readRoutingTable(), toHead(raw)),
  }));
  server.route({
    method: ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS'],
    url: '/*',
    handler: (request, reply) =>
      receiveCall(options, calls, readRoutingTable, request, reply),
  });
  const refuse = (refusal: Refusal): void => {
    const call = calls.remove(refusal.request);
    if (call !== undefined) {
      sendSchedulerAnswer(call.response, protocol.formatRefusal(refusal));
    }
  };
  return {
    perform: effect => {
      switch (effect.kind) {
        case 'openStream':
          streams.open(effect.request, effect.dispatch);
          return;
        case 'cancelStream':
          streams.cancel(effect.dispatch);
          return;
        case 'relayCall':
          relayed.open(effect.request.id, effect.relay);
          return;
        case 'cancelRelay':
          relayed.cancel(effect.relay);
          return;
        case 'probeEndpoint':
          checkEndpoint(effect.target, CONNECT_TIMEOUT_MS, options.post);
          return;
        case 'releaseAnswer':
          calls.find(effect.request)?.hold.release();
          return;
        case 'refuseCaller':
          refuse(effect.refusal);
          return;
      }
    },
    close: async () => {
      await Promise.all([streams.close(), relayed.close()]);
    },
  };
}

function receiveCall(
  options: CallRelayOptions,
  calls: CallTable,
  readTable: () => RoutingTable,
  request: FastifyRequest,
  reply: FastifyReply,
): void {
  reply.hijack();
  const {raw} = request;
  const head = toHead(raw);
  const received = findReceivedBody(request) ?? receiveEmpty(options.gate);
  const response = reply.raw;
  if (received.kind !== 'received') {
    answerUnread(options, head, received, response);
    return;
  }
  const {body, ageMs} = received;
  response.once('close', body.release);
  const guard = {
    step: 'receiveCall',
    peer: raw.socket.remoteAddress ?? 'unknown',
    onStep: options.onStep,
    onFailed: () => sendSchedulerAnswer(response, UNEXPECTED_ERROR_ANSWER),
  };
  options.loop.runOnceRead(() => {
    if (hasDisconnected(raw)) {
      body.release();
      return;
    }
    const observation = guardCall(guard, () =>
      parseCall(options, calls, readTable(), {
        head,
        body,
        ageMs,
        response,
        isRelayed: raw.socket.localPort === options.relayPort,
      }),
    );
    if (observation !== undefined) {
      options.post(observation);
    }
  });
}

/** Admits a call without a body unless memory is used up. */
function receiveEmpty(gate: MemoryGate): ReceivedBody {
  return gate.isFull()
    ? {kind: 'memoryFull'}
    : {kind: 'received', body: createEmptyBody(), ageMs: 0};
}

/** Answers a call whose body was not read. */
function answerUnread(
  options: CallRelayOptions,
  head: CallHead,
  unread: UnreadBody,
  response: FastifyReply['raw'],
): void {
  const decided = decideUnreadAnswer(options.protocol, head, unread);
  switch (decided.kind) {
    case 'refused':
      options.post(refuseCall(options, response, decided.refusal));
      return;
    case 'answered':
      sendSchedulerAnswer(response, decided.answer);
      return;
    default:
      assertNever(decided, 'answerUnread');
  }
}

/** Parses and registers a call; returns the observation to post, if any. */
function parseCall(
  options: CallRelayOptions,
  calls: CallTable,
  table: RoutingTable,
  {head, body, ageMs, response, isRelayed}: Omit<IncomingCall, 'attributes'>,
): EntryObservation | undefined {
  const parsed = options.protocol.readCall(head);
  if (
    parsed.kind === 'malformed' ||
    calls.find(parsed.attributes.id) !== undefined
  ) {
    const detail =
      parsed.kind === 'malformed' ? parsed.detail : 'the call is open already';
    sendSchedulerAnswer(response, options.protocol.formatMalformed(detail));
    return undefined;
  }
  return openCall(options, calls, table, {
    head,
    attributes: parsed.attributes,
    body,
    ageMs,
    response,
    isRelayed,
  });
}

/** A call that has been parsed but not routed yet. */
interface IncomingCall {
  readonly head: CallHead;
  readonly attributes: CallAttributes;
  readonly body: RequestBody;
  /** Time since its head was read. */
  readonly ageMs: Milliseconds;
  readonly response: FastifyReply['raw'];
  /** Whether another entry passed it on. */
  readonly isRelayed: boolean;
}

function openCall(
  options: CallRelayOptions,
  calls: CallTable,
  table: RoutingTable,
  {head, attributes, body, ageMs, response, isRelayed}: IncomingCall,
): EntryObservation {
  const {clock, loop, post, view} = options;
  const now = readInstant(clock);
  const lagMs = loop.readLag();
  const resolved = routeCall(table, view.configuration, attributes);
  if (resolved.kind === 'refused') {
    // Without a lease the configuration may be outdated: the route may exist.
    const reason: RefusalReason = isLeaseValid(view.control.lease, now)
      ? resolved.reason
      : {kind: 'noLease'};
    const refusal = refuseUnadmitted(
      attributes,
      reason,
      UNROUTED_RETRY_AFTER_MS,
    );
    return refuseCall(options, response, refusal);
  }
  const overload = refuseIfOverloaded(attributes, lagMs);
  if (overload !== undefined) {
    return refuseCall(options, response, overload);
  }
  const {id} = attributes;
  // The call may have waited for the event loop before it was read.
  const waitedMs = lagMs + ageMs;
  const receivedAt = now.monotonic - waitedMs;
  const limitMs = resolved.attributes.routePolicy!.timeLimitMs;
  const timer = startTimer(
    () => post({kind: 'timeLimitReached', request: id}),
    Math.max(0, limitMs - waitedMs),
  );
  calls.add({
    id,
    head,
    body,
    response,
    receivedAt,
    dueAt: receivedAt + limitMs,
    timer,
    hold: createAnswerHold(isResumableStream(resolved.attributes.routePolicy)),
    lastEventId: null,
    sentHead: null,
    sentCount: 0,
  });
  response.once('close', () => {
    if (calls.remove(id) !== undefined) {
      const ageMs = clock.readMonotonic() - receivedAt;
      options.onStep({kind: 'callerDisconnected', request: id, ageMs});
      post({kind: 'callerGone', request: id});
    }
  });
  const requestFingerprint = digestCall({head, attributes, body});
  return {
    kind: 'requestReceived',
    attributes: {
      ...resolved.attributes,
      requestFingerprint,
      ...(isRelayed ? {isRelayed} : {}),
    },
  };
}

/** Refuses a call that has not been admitted. */
function refuseCall(
  {protocol, onRefused}: CallRelayOptions,
  response: FastifyReply['raw'],
  refusal: Refusal,
): EntryObservation {
  sendSchedulerAnswer(response, protocol.formatRefusal(refusal));
  onRefused(refusal);
  return {kind: 'callerRefused', refusal};
}
