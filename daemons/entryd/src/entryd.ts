import {createCallerFront} from '@gentianshunt/callerFront';
import type {CallerFront} from '@gentianshunt/callerFront';
import {
  createEndpointFront,
  createEndpointOrderClient,
} from '@gentianshunt/endpointFront';
import type {EndpointOrderClient} from '@gentianshunt/endpointFront';
import type {
  EntryObservation,
  EntryOrder,
  EntryTimer,
} from '@gentianshunt/entryModel';
import {createEntryNode} from '@gentianshunt/entryNode';
import {encodeEntryMessage} from '@gentianshunt/entryWire';
import type {EntryNode} from '@gentianshunt/entryNode';
import {assertNever} from '@gentianshunt/errors';
import type {IncarnationId, NodeId} from '@gentianshunt/identifiers';
import {createLogger} from '@gentianshunt/logging';
import {addHealthRoutes, createEntryMetrics} from '@gentianshunt/metrics';
import type {EntryMetrics} from '@gentianshunt/metrics';
import {createOperatorFront} from '@gentianshunt/operatorFront';
import type {OperatorAccess, OperatorFront} from '@gentianshunt/operatorFront';
import {createPeerLinks} from '@gentianshunt/peerLinks';
import type {PeerLinks} from '@gentianshunt/peerLinks';
import {
  createSystemClock,
  createTimerTable,
  drawFraction,
  drawIdentifier,
} from '@gentianshunt/runtime';
import type {TimerTable} from '@gentianshunt/runtime';
import {findLeaderAddress} from '@gentianshunt/setLeader';
import {readOperatorKeys} from '@gentianshunt/settings';
import type {EntrydSettings} from '@gentianshunt/settings';
import {fastify} from 'fastify';

import {createOpenResponses} from './openResponses.js';
import {toObservation} from './peerMessages.js';

const logger = createLogger({namespace: 'entryd'});

/** Bytes of request bodies held before new ones are left unread. */
const MAX_HELD_BODY_BYTES = 256 * 1024 * 1024;

/** What an entry daemon needs. */
export interface EntrydOptions {
  readonly settings: EntrydSettings;
  /** Called once the entry has nothing left to do. */
  readonly onExit: () => void;
}

/** A running entry daemon. */
export interface Entryd {
  readonly httpPort: number;
  /** Begins a graceful shutdown; a second call ends the daemon at once. */
  shutdown(): void;
  close(): Promise<void>;
}

interface Adapters {
  readonly links: PeerLinks;
  readonly timers: TimerTable<EntryTimer>;
  readonly callers: CallerFront;
  readonly operators: OperatorFront;
  readonly endpoints: EndpointOrderClient;
  readonly metrics: EntryMetrics;
  /** Ends the daemon once nothing is on its way to a caller. */
  readonly exit: () => void;
}

/** Starts an entry daemon: its fronts, its links and its control loop. */
export async function createEntryd(options: EntrydOptions): Promise<Entryd> {
  const {settings} = options;
  const server = fastify({
    bodyLimit: settings.limits.max_body_bytes,
    forceCloseConnections: true,
  });
  const responses = createOpenResponses(server.server);
  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    '*',
    {parseAs: 'buffer'},
    (_request, body, done) => done(null, body),
  );
  let adapters: Adapters | undefined = undefined;
  const post = (observation: EntryObservation): void => node.post(observation);
  const links = await createPeerLinks({
    self: settings.node,
    listen: settings.peer,
    onMessage: (from, body) => {
      const observation = toObservation(from, body);
      if (observation !== undefined) {
        post(observation);
      }
    },
    onError: error => logger.write({kind: 'peerLinkFailed', error}),
    drawFraction,
  });
  const node: EntryNode = createEntryNode({
    identity: {
      address: {
        node: settings.node,
        region: settings.region,
        domain: settings.domain,
        peer: links.address,
        http: settings.http,
      },
      incarnation: drawIdentifier<IncarnationId>(),
      controls: settings.control.map(member => member.node),
    },
    clock: createSystemClock(),
    perform: order => perform(options, adapters!, order, post),
  });
  adapters = {
    links,
    timers: createTimerTable<EntryTimer>({
      onDue: timer => post({kind: 'timerDue', timer}),
    }),
    callers: createCallerFront({
      server,
      post,
      readDirectory: () => node.view.control.directory,
      drawRequestId: drawIdentifier,
      self: settings.node,
      maxHeldBytes: MAX_HELD_BODY_BYTES,
    }),
    endpoints: createEndpointOrderClient({clock: createSystemClock(), post}),
    operators: createOperatorFront({
      server,
      post,
      view: node.view,
      clock: createSystemClock(),
      access: readAccess(settings),
      drawRequestId: drawIdentifier,
    }),
    metrics: createEntryMetrics(),
    exit: () => void responses.drain().then(options.onExit),
  };
  const {metrics, timers, callers} = adapters;
  createEndpointFront({
    server,
    post,
    findLeader: set =>
      findLeaderAddress({
        configuration: node.view.configuration,
        directory: node.view.control.directory,
        set,
      }),
  });
  addHealthRoutes({server, metrics, readReady: () => isReady(node)});
  // The listener writes into what it is given.
  await server.listen({...settings.http});
  post({kind: 'started'});
  logger.write({kind: 'daemonReady', node: settings.node});
  return {
    httpPort: settings.http.port,
    shutdown: () => {
      if (node.view.service.kind === 'draining') {
        options.onExit();
        return;
      }
      post({kind: 'shutdownRequested'});
    },
    close: async () => {
      timers.clear();
      await callers.close();
      await server.close();
      await links.close();
    },
  };
}

function readAccess(settings: EntrydSettings): OperatorAccess {
  const file = settings.operator_keys_file;
  return file === undefined
    ? {kind: 'insecure'}
    : {kind: 'keys', keys: readOperatorKeys({file})};
}

function isReady(node: EntryNode): boolean {
  const {service, control} = node.view;
  return (
    service.kind === 'serving' &&
    control.leaseUntil > createSystemClock().readMonotonic()
  );
}

function perform(
  options: EntrydOptions,
  adapters: Adapters,
  order: EntryOrder,
  post: (observation: EntryObservation) => void,
): void {
  switch (order.kind) {
    case 'refuseCaller':
      adapters.callers.perform(order);
      post({kind: 'callerRefused', refusal: order.refusal});
      return;
    case 'openStream':
    case 'resumeStream':
    case 'cancelStream':
    case 'repeatAnswer':
    case 'answerAddresses':
      adapters.callers.perform(order);
      return;
    case 'sendEntry':
      sendEntry(options, adapters, order, post);
      return;
    case 'sendControl': {
      const address = findControl(options.settings, order.to);
      adapters.links.send(order.to, address, order.message);
      return;
    }
    case 'setTimer':
      adapters.timers.set(order.timer, order.delayMs);
      return;
    case 'answerOperator':
      adapters.operators.answer(order.correlation, order.progress);
      return;
    case 'recordEnd':
      adapters.metrics.recordEnd(order);
      post({
        kind: 'requestEnded',
        request: order.request,
        end: order.end,
        firstTokenMs: order.firstTokenMs,
      });
      logger.write({kind: 'requestEnded', end: order});
      return;
    case 'sendEndpointOrder':
      adapters.endpoints.send(order.run);
      return;
    case 'exit':
      adapters.exit();
      return;
    default:
      assertNever(order, 'perform');
  }
}

/** A message to this entry itself does not pass over the network. */
function sendEntry(
  options: EntrydOptions,
  adapters: Adapters,
  order: Extract<EntryOrder, {readonly kind: 'sendEntry'}>,
  post: (observation: EntryObservation) => void,
): void {
  const {to, address, message} = order;
  if (to === options.settings.node) {
    post({kind: 'entryMessage', from: to, message});
    return;
  }
  adapters.links.send(to, address, encodeEntryMessage(message));
}

function findControl(settings: EntrydSettings, node: NodeId) {
  return settings.control.find(member => member.node === node)?.peer;
}
