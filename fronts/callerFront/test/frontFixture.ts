import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

import {createManualClock} from '@gentianshunt/clock';
import type {
  AdmittedRequest,
  Dispatch,
  EntryObservation,
  RequestAttributes,
} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {EntryDirectory} from '@gentianshunt/messages';
import {createMemoryGate} from '@gentianshunt/requestBodies';
import {createManualLoop} from '@gentianshunt/runtime';
import type {LoopMonitor} from '@gentianshunt/runtime';
import {fastify} from 'fastify';

import {createCallerFront} from '../src/index.js';
import type {CallerFront} from '../src/index.js';

const HOST = '127.0.0.1';
const MAX_BODY_BYTES = 4_096;

/** A caller front on a real port, and the observations it has posted. */
export interface FrontFixture {
  readonly url: string;
  readonly front: CallerFront;
  readonly observations: readonly EntryObservation[];
  /** Resolves with the next observation of a kind. */
  next<Kind extends EntryObservation['kind']>(
    kind: Kind,
  ): Promise<Extract<EntryObservation, {readonly kind: Kind}>>;
  close(): Promise<void>;
}

/** Options of a fixture. */
export interface FrontFixtureOptions {
  readonly maxBufferedBytes?: number;
  readonly directory?: EntryDirectory;
  readonly loop?: LoopMonitor;
}

/** Starts a caller front without an entry: the test executes the effects. */
export async function createFrontFixture(
  options: FrontFixtureOptions = {},
): Promise<FrontFixture> {
  const server = fastify({
    bodyLimit: MAX_BODY_BYTES,
    forceCloseConnections: true,
  });
  const clock = createManualClock();
  const observations: EntryObservation[] = [];
  const waiters = new Map<string, (observation: EntryObservation) => void>();
  let requestCount = 0;
  const front = createCallerFront({
    server,
    post: observation => {
      observations.push(observation);
      waiters.get(observation.kind)?.(observation);
      waiters.delete(observation.kind);
    },
    loop: options.loop ?? createManualLoop(),
    readDirectory: () => options.directory ?? createDirectory(),
    drawRequestId: () => toIdentifier(`q${(requestCount += 1)}`),
    self: toIdentifier('entry-0'),
    clock,
    gate: createMemoryGate(options.maxBufferedBytes ?? MAX_BODY_BYTES, clock),
    managementGate: createMemoryGate(MAX_BODY_BYTES, clock),
    maxBodyBytes: MAX_BODY_BYTES,
    readRank: () => 1,
  });
  const url = await server.listen({host: HOST, port: 0});
  return {
    url,
    front,
    observations,
    next: kind =>
      new Promise(resolve => waiters.set(kind, resolve as never)) as never,
    close: async () => {
      await front.close();
      await server.close();
    },
  };
}

/** Creates a directory that lists this entry and another one. */
export function createDirectory(): EntryDirectory {
  const entries = ['entry-0', 'entry-1'].map((node, index) => ({
    address: {
      node: toIdentifier<never>(node),
      domain: toIdentifier<never>('a'),
      peer: {host: HOST, port: 1},
      http: {host: HOST, port: 80 + index},
    },
    draining: false,
  }));
  return {version: 1, entries} as never;
}

/** An HTTP server whose answers are scripted by a test. */
export interface ScriptedEndpoint {
  readonly url: string;
  /** Method and path of each request received. */
  readonly requests: readonly string[];
  close(): void;
}

/** Starts a scripted endpoint. */
export async function createScriptedEndpoint(
  answer: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<ScriptedEndpoint> {
  const requests: string[] = [];
  const server = createServer((request, response) => {
    requests.push(`${request.method} ${request.url}`);
    request.resume();
    answer(request, response);
  });
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  return {
    url: `http://${HOST}:${port}`,
    requests,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Creates an admitted request from its attributes. */
export function createAdmitted(attributes: RequestAttributes): AdmittedRequest {
  const tier = toIdentifier<never>('gold');
  return {...attributes, tier, rank: 1, value: 1, arrivedAt: 0};
}

/** Creates a dispatch of a request to a URL. */
export function createDispatch(request: string, url: string): Dispatch {
  const target = {endpoint: toIdentifier<never>('engine-0'), url};
  return {
    id: toIdentifier(`${request}.d`),
    grant: toIdentifier('g'),
    target,
    at: 0,
    stateAt: 0,
  };
}
