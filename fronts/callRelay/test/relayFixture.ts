import {request as sendHttp} from 'node:http';
import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

import {
  createLease,
  createManualClock,
  ENDED_LEASE,
  readInstant,
} from '@gentianshunt/clock';
import type {Clock} from '@gentianshunt/clock';
import {formatObjectKey} from '@gentianshunt/configuration';
import type {
  ConfigurationObject,
  ConfigurationTable,
} from '@gentianshunt/configuration';
import {failDispatched, NO_SIGNALS} from '@gentianshunt/entryModel';
import type {
  Dispatch,
  EntryObservation,
  Quarantine,
  RequestAttributes,
  StreamEnd,
} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {DispatchId, RequestId} from '@gentianshunt/identifiers';
import {createMemoryGate} from '@gentianshunt/requestBodies';
import {ANONYMOUS} from '@gentianshunt/routing';
import {createManualLoop} from '@gentianshunt/runtime';
import type {LoopMonitor} from '@gentianshunt/runtime';
import {fastify} from 'fastify';

import {createCallRelay, dropHeaders, findHeader} from '../src/index.js';
import type {CallProtocol, CallRelay, CallStep} from '../src/index.js';

const HOST = '127.0.0.1';
const LEASE_MS = 3_600_000;
const MEMORY_BYTES = 1_024 * 1_024;

/** The answer that a caller received. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer was complete by its length or end mark. */
  readonly isWhole: boolean;
}

/** A relay on a real port; the test dispatches calls in place of an entry. */
export interface RelayFixture {
  readonly relay: CallRelay;
  readonly port: number;
  readonly observations: readonly EntryObservation[];
  readonly withdrawnEndpoints: Map<string, number>;
  readonly quarantines: Map<string, Quarantine>;
  /** What happened to calls at their connections. */
  readonly steps: readonly CallStep[];
  /** Resolves with the next observation of a kind. */
  next<Kind extends EntryObservation['kind']>(
    kind: Kind,
  ): Promise<Extract<EntryObservation, {readonly kind: Kind}>>;
  /** Sends a call and resolves with its answer or with the error. */
  call(
    id: string,
    body?: Buffer,
    headers?: OutgoingHttpHeaders,
  ): Promise<CallerAnswer | Error>;
  /** Puts a newer configuration in force. */
  replaceConfiguration(objects: readonly ConfigurationObject[]): void;
  /** Lets the lease of the entry end, or grants one. */
  setLease(isValid: boolean): void;
  /** Dispatches a received call to an endpoint. */
  dispatch(
    attributes: RequestAttributes,
    url: string,
    options?: DispatchOptions,
  ): Dispatch;
  /** Refuses a call after a failed dispatch, as an entry would. */
  fail(attributes: RequestAttributes): void;
  close(): Promise<void>;
}

/** How a call is dispatched. */
export interface DispatchOptions {
  readonly isRetryable?: boolean;
  readonly isResumable?: boolean;
  readonly attempt?: number;
}

/** The protocol of the tests. */
const protocol: CallProtocol = {
  listRelayHeaders: ({headers}) => [...headers],
  readCall: ({headers, url}) => {
    const id = findHeader(headers, 'x-call');
    return id === undefined
      ? {kind: 'malformed', detail: 'no id'}
      : {
          kind: 'read',
          attributes: {
            id: toIdentifier(id),
            host: 'a.example',
            path: url,
            key: findHeader(headers, 'x-key') ?? null,
            timeLeftMs: null,
            size: null,
            prefix: null,
            promptParts: [],
            resumed: null,
          },
        };
  },
  listEndpointHeaders: ({call, lastEventId}) => [
    ...dropHeaders(call.headers, new Set(['content-length'])),
    ...(lastEventId === null ? [] : ['last-event-id', lastEventId]),
  ],
  readAnswer: ({headers}) => ({
    call: (findHeader(headers, 'x-call') ?? null) as RequestId | null,
    isNotExecuted: findHeader(headers, 'x-not-executed') !== undefined,
    isAuthentic: findHeader(headers, 'x-proof') !== undefined,
    signals: NO_SIGNALS,
  }),
  formatRefusal: ({notRun, reason}) => ({
    status: notRun ? 503 : 502,
    headers: [],
    body: reason.kind,
  }),
  formatMalformed: detail => ({status: 400, headers: [], body: detail}),
};

/** Lists the objects of a configuration with one route. */
export function listObjects(timeoutMs: number): readonly ConfigurationObject[] {
  return [
    {
      kind: 'route',
      id: toIdentifier('r1'),
      revision: 1,
      host: 'a.example',
      pathPrefix: '/x/',
      requestKind: toIdentifier('k'),
      tier: toIdentifier('t'),
      shares: [{set: toIdentifier('s'), weight: 1}],
      maxAttempts: 2,
      timeoutMs,
      objectiveMs: 100,
      patienceMs: 1_000,
      isAnonymous: true,
      isResumable: true,
      isStream: true,
    },
    {
      kind: 'organisation',
      id: ANONYMOUS,
      revision: 1,
      weight: 1,
      tiers: [],
      limits: {maxRunning: null, maxRequestsPerSecond: null},
    },
    {
      kind: 'release',
      id: 'default',
      revision: 1,
      version: 1,
      callerLimits: null,
    },
  ];
}

/** The time that a relay sees, and changes to the protocol. */
export interface RelayFixtureOptions {
  readonly protocol?: Partial<CallProtocol>;
  readonly clock?: Clock;
  readonly loop?: LoopMonitor;
  /** Time limit of the calls, in milliseconds. */
  readonly timeoutMs?: number;
  /** Whether the test releases answers itself. */
  readonly holdsAnswers?: boolean;
}

/** Starts a relay. */
export async function createRelayFixture({
  clock = createManualClock(),
  loop = createManualLoop(),
  protocol: changed = {},
  timeoutMs = 5_000,
  holdsAnswers = false,
}: RelayFixtureOptions = {}): Promise<RelayFixture> {
  const server = fastify({forceCloseConnections: true});
  const observations: EntryObservation[] = [];
  const steps: CallStep[] = [];
  const waiters = new Map<string, (observation: EntryObservation) => void>();
  const withdrawnEndpoints = new Map<string, number>();
  const quarantines = new Map<string, Quarantine>();
  const view = {
    configuration: toTable(listObjects(timeoutMs)),
    control: {
      version: 1,
      lease: createLease(readInstant(clock), LEASE_MS),
    },
    withdrawnEndpoints,
    leaveCatchUp: {kind: 'current'},
    processActivity: null,
    quarantines,
    namedLimits: new Map(),
    pausedEndpoints: new Map(),
    requests: new Map(),
    identity: {address: {node: 'entry-0'}},
  };
  const relay = createCallRelay({
    server,
    protocol: {...protocol, ...changed},
    view: view as never,
    clock,
    loop,
    gate: createMemoryGate(MEMORY_BYTES, clock),
    maxBodyBytes: MEMORY_BYTES,
    relayPort: null,
    post: observation => {
      observations.push(observation);
      if (observation.kind === 'streamStarted' && !holdsAnswers) {
        const request = readRequest(observation.dispatch);
        relay.perform({kind: 'releaseAnswer', request});
      }
      waiters.get(observation.kind)?.(observation);
      waiters.delete(observation.kind);
    },
    onRefused: () => undefined,
    onStep: step => steps.push(step),
  });
  await server.listen({host: HOST, port: 0});
  const {port} = server.server.address() as AddressInfo;
  return {
    relay,
    port,
    observations,
    steps,
    withdrawnEndpoints,
    quarantines,
    next: kind =>
      new Promise(resolve => waiters.set(kind, resolve as never)) as never,
    call: (id, body, headers) => sendCall(port, id, body, headers),
    replaceConfiguration: objects => {
      view.configuration = toTable(objects);
      view.control.version += 1;
    },
    setLease: isValid => {
      view.control.lease = isValid
        ? createLease(readInstant(clock), LEASE_MS)
        : ENDED_LEASE;
    },
    dispatch: (attributes, url, options = {}) => {
      const {isRetryable, isResumable = false, attempt = 1} = options;
      const dispatch: Dispatch = {
        id: formatDispatch(attributes.id, attempt),
        grant: toIdentifier('g'),
        target: {endpoint: toIdentifier('e1'), url},
        at: 0,
        stateAt: 0,
        ...(isRetryable === undefined ? {} : {isRetryable}),
      };
      const request = {
        ...attributes,
        routePolicy: {...attributes.routePolicy!, isResumable},
        tier: toIdentifier<never>('t'),
        rank: 1,
        value: 1,
        arrivedAt: 0,
        isIdempotent: true,
      };
      relay.perform({kind: 'openStream', request, dispatch});
      return dispatch;
    },
    fail: ({id}) => {
      const reason = {kind: 'endpointFailed', detail: 'test'} as const;
      relay.perform({
        kind: 'refuseCaller',
        refusal: failDispatched(id, reason),
      });
    },
    close: async () => {
      await relay.close();
      await server.close();
    },
  };
}

function formatDispatch(request: RequestId, attempt: number): DispatchId {
  return toIdentifier(`${request}.d${attempt}`);
}

function readRequest(dispatch: DispatchId): RequestId {
  return toIdentifier(dispatch.slice(0, dispatch.lastIndexOf('.d')));
}

function toTable(objects: readonly ConfigurationObject[]): ConfigurationTable {
  return new Map(
    objects.map(object => [formatObjectKey(object.kind, object.id), object]),
  );
}

function sendCall(
  port: number,
  id: string,
  body?: Buffer,
  headers: OutgoingHttpHeaders = {},
): Promise<CallerAnswer | Error> {
  return new Promise(resolve => {
    const request = sendHttp(
      {
        host: HOST,
        port,
        path: '/x/1?q=2',
        method: body === undefined ? 'GET' : 'POST',
        headers: {...headers, 'x-call': id},
      },
      response => {
        const chunks: Buffer[] = [];
        const finish = (isWhole: boolean): void =>
          resolve({
            status: response.statusCode!,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
            isWhole,
          });
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('end', () => finish(response.complete));
        response.on('error', () => finish(false));
      },
    );
    request.on('error', resolve);
    request.end(body);
  });
}

/** An endpoint that writes raw bytes. */
export interface RawEndpoint {
  readonly url: string;
  /** Heads of the requests received. */
  readonly heads: readonly string[];
  readonly connections: number;
  close(): void;
}

/** Starts an endpoint that answers each request by a callback. */
export async function createRawEndpoint(
  answer: (socket: Socket, count: number) => void,
): Promise<RawEndpoint> {
  const heads: string[] = [];
  const sockets = new Set<Socket>();
  let connections = 0;
  const server = createServer(socket => {
    connections += 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', bytes => {
      heads.push(bytes.toString());
      answer(socket, heads.length);
    });
  });
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  return {
    url: `http://${HOST}:${port}`,
    heads,
    get connections() {
      return connections;
    },
    close: () => {
      sockets.forEach(socket => socket.destroy());
      server.close();
    },
  };
}

/** Formats the head of an answer with status 200, followed by other bytes. */
export function formatAnswer(call: string, rest: string): string {
  return `HTTP/1.1 200 OK\r\nx-call: ${call}\r\nx-proof: p\r\n${rest}`;
}

/** Describes how a stream ended. */
export function describeEnd(end: StreamEnd): string {
  switch (end.kind) {
    case 'failed':
    case 'rejected':
      return `${end.kind} ${end.status}`;
    case 'withheld':
      return `${end.kind} ${end.cause}`;
    case 'complete':
    case 'cut':
    case 'notExecuted':
    case 'notSent':
      return end.kind;
  }
}
