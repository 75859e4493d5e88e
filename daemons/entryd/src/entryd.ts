import {createCallerFront} from '@gentianshunt/callerFront';
import {
  createEndpointFront,
  createEndpointOrderClient,
} from '@gentianshunt/endpointFront';
import type {EntryObservation, EntryTimer} from '@gentianshunt/entryModel';
import {encodeEntryMessage} from '@gentianshunt/entryWire';
import type {EntryNode} from '@gentianshunt/entryNode';
import {createEntryHost, toEntryObservation} from '@gentianshunt/hosts';
import type {EntryAdapters} from '@gentianshunt/hosts';
import type {IncarnationId, NodeId} from '@gentianshunt/identifiers';
import {createLogger} from '@gentianshunt/logging';
import {addHealthRoutes, createEntryMetrics} from '@gentianshunt/metrics';
import {createOperatorFront} from '@gentianshunt/operatorFront';
import type {OperatorAccess} from '@gentianshunt/operatorFront';
import {createPeerLinks} from '@gentianshunt/peerLinks';
import {
  createSystemClock,
  createTimerTable,
  drawFraction,
  drawIdentifier,
} from '@gentianshunt/runtime';
import {findLeaderAddress} from '@gentianshunt/setLeader';
import {readOperatorKeys} from '@gentianshunt/settings';
import type {EntrydSettings} from '@gentianshunt/settings';
import {fastify} from 'fastify';

import {createOpenResponses} from './openResponses.js';

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

/** Starts an entry daemon: its fronts, its links and its control loop. */
export async function createEntryd(options: EntrydOptions): Promise<Entryd> {
  const {settings} = options;
  const logger = createLogger({node: settings.node});
  const clock = createSystemClock();
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
  let adapters: EntryAdapters | undefined = undefined;
  const post = (observation: EntryObservation): void => node.post(observation);
  const links = await createPeerLinks({
    self: settings.node,
    listen: settings.peer,
    onMessage: (from, body) => {
      const observation = toEntryObservation(from, body);
      if (observation !== undefined) {
        post(observation);
      }
    },
    onError: error => logger.write({kind: 'peerLinkFailed', error}),
    drawFraction,
  });
  const node: EntryNode = createEntryHost({
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
    clock,
    readAdapters: () => adapters!,
  });
  const timers = createTimerTable<EntryTimer>({
    onDue: timer => post({kind: 'timerDue', timer}),
  });
  const callers = createCallerFront({
    server,
    post,
    readDirectory: () => node.view.control.directory,
    drawRequestId: drawIdentifier,
    self: settings.node,
    maxHeldBytes: MAX_HELD_BODY_BYTES,
  });
  const endpoints = createEndpointOrderClient({clock, post});
  const operators = createOperatorFront({
    server,
    post,
    view: node.view,
    clock,
    access: readAccess(settings),
    drawRequestId: drawIdentifier,
  });
  const metrics = createEntryMetrics();
  const exit = (): void => {
    logger.write({kind: 'daemonStopped', exitCode: 0});
    void logger.flush().then(options.onExit);
  };
  adapters = {
    performFront: order => {
      callers.perform(order);
      if (order.kind === 'refuseCaller') {
        logger.write({kind: 'requestRefused', refusal: order.refusal});
      }
    },
    tell: decision => logger.write({kind: 'entryDecided', decision}),
    answerOperator: operators.answer,
    sendEntry: (to, address, message) =>
      links.send(to, address, encodeEntryMessage(message)),
    sendControl: (to, message) =>
      links.send(to, findControl(settings, to), message),
    redirectEntry: (to, message) => links.send(to, undefined, message),
    sendEndpointOrder: endpoints.send,
    setTimer: timers.set,
    recordEnd: order => {
      metrics.recordEnd(order);
      logger.write({kind: 'requestEnded', end: order});
    },
    exit: () => void responses.drain().then(exit),
  };
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
      logger.write({kind: 'daemonStopping', cause: 'shutdown'});
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

function findControl(settings: EntrydSettings, node: NodeId) {
  return settings.control.find(member => member.node === node)?.peer;
}
