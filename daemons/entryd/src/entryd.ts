import {listenForCalls} from '@gentianshunt/callRelay';
import {isLeaseValid, readInstant} from '@gentianshunt/clock';
import type {Clock} from '@gentianshunt/clock';
import {createConnectionLimiter} from '@gentianshunt/connectionLimits';
import {findObject} from '@gentianshunt/configuration';
import {createCallerFront} from '@gentianshunt/callerFront';
import {
  createEndpointFront,
  createEndpointOrderClient,
} from '@gentianshunt/endpointFront';
import type {
  EntryIdentity,
  EntryObservation,
  EntryTimer,
} from '@gentianshunt/entryModel';
import {encodeEntryMessage} from '@gentianshunt/entryWire';
import type {EntryNode} from '@gentianshunt/entryNode';
import {
  createEntryHost,
  createLoadMonitor,
  createMemoryMonitor,
  createObservationCounts,
  readOrderingKey,
  toEntryObservation,
} from '@gentianshunt/hosts';
import type {EntryAdapters} from '@gentianshunt/hosts';
import type {
  EndpointSetId,
  IncarnationId,
  NodeId,
} from '@gentianshunt/identifiers';
import type {Logger} from '@gentianshunt/logging';
import {addHealthRoutes, createEntryMetrics} from '@gentianshunt/metrics';
import {createOperatorFront} from '@gentianshunt/operatorFront';
import type {OperatorAccess} from '@gentianshunt/operatorFront';
import {BYTES_PER_MB, planMemory} from '@gentianshunt/memoryAccount';
import {createPeerLinks} from '@gentianshunt/peerLinks';
import type {PeerAddress} from '@gentianshunt/peerLinks';
import {listenWithRetry} from '@gentianshunt/processControl';
import type {RunningDaemon, StartContext} from '@gentianshunt/processControl';
import {createMemoryGate} from '@gentianshunt/requestBodies';
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

/** Rank of requests that name no known tier: they go after all others. */
const UNKNOWN_RANK = Number.MAX_SAFE_INTEGER;

/** Options of an entry daemon. */
export interface EntrydOptions {
  readonly settings: EntrydSettings;
  readonly logger: Logger;
  readonly context: StartContext;
}

/** Starts an entry daemon: its HTTP server, peer links and control loop. */
export async function createEntryd({
  settings,
  logger,
  context,
}: EntrydOptions): Promise<RunningDaemon> {
  const clock = createSystemClock();
  const {memoryBytes, plan, callerGate, managementGate} = createGates(
    settings,
    clock,
  );
  const limiter = createConnectionLimiter({
    maxAheadBytes: plan.aheadBytes,
    clock,
  });
  const server = fastify({
    forceCloseConnections: true,
    serverFactory: limiter.createServer,
  });
  server.server.maxConnections = plan.callerConnections;
  const openResponses = createOpenResponses(server.server);
  let adapters: EntryAdapters | undefined = undefined;
  const post = (observation: EntryObservation): void => node.post(observation);
  const links = await listenWithRetry(context, settings.peer, () =>
    createPeerLinks({
      self: settings.node,
      listen: settings.peer,
      onMessage: (from, body) => {
        const observation = toEntryObservation(from, body);
        if (observation !== undefined) {
          post(observation);
        }
      },
      onError: error => logger.write({kind: 'peerLinkFailed', error}),
      maxQueuedBytes: plan.peerLinkBytes,
      readOrderingKey,
      drawFraction,
    }),
  );
  const counts = createObservationCounts();
  const node: EntryNode = createEntryHost({
    identity: createIdentity(settings, links.address),
    clock,
    readAdapters: () => adapters!,
    onObservation: counts.add,
    onFault: error => context.onFailed({kind: 'fault', error}),
    onEffectFailed: error => logger.write({kind: 'effectFailed', error}),
  });
  const timers = createTimerTable<EntryTimer>({
    onDue: timer => post({kind: 'timerDue', timer}),
  });
  const readBufferedBytes = () => ({
    requestBodyBytes: callerGate.reservedBytes + managementGate.reservedBytes,
    answerBytes: openResponses.measure(),
    peerLinkBytes: links.readQueuedBytes().total,
  });
  const metrics = createEntryMetrics({
    entry: {view: node.view, clock},
    readQueuedBytes: () => links.readQueuedBytes().total,
    readBufferedBytes: () => ({
      ...readBufferedBytes(),
      aheadBytes: limiter.heldBytes,
    }),
    readLimitedConnections: () => limiter.closedCount,
    readObservations: counts.read,
  });
  const loop = createLoadMonitor({
    clock,
    counts,
    readQueuedBytes: links.readQueuedBytes,
    onSample: metrics.recordLoopLag,
    onDelayed: load => logger.write({kind: 'loopDelayed', load}),
  });
  const callerFront = createCallerFront({
    server,
    loop,
    post,
    readDirectory: () => node.view.control.directory,
    drawRequestId: drawIdentifier,
    self: settings.node,
    clock,
    gate: callerGate,
    managementGate,
    maxBodyBytes: settings.limits.max_body_bytes,
    readRank: tier => findRank(node, tier),
  });
  createMemoryMonitor({
    clock,
    limitBytes: memoryBytes,
    readBufferedBytes,
    onHigh: use => logger.write({kind: 'memoryHigh', use}),
  });
  const endpointOrders = createEndpointOrderClient({clock, post});
  const operatorFront = createOperatorFront({
    server,
    post,
    view: node.view,
    clock,
    access: readOperatorAccess(settings),
    drawRequestId: drawIdentifier,
  });
  adapters = {
    performCallerEffect: effect => {
      callerFront.perform(effect);
      if (effect.kind === 'refuseCaller') {
        logger.write({kind: 'requestRefused', refusal: effect.refusal});
      }
    },
    logDecision: decision => {
      metrics.recordDecision(decision);
      logger.write({kind: 'entryDecided', decision});
    },
    answerOperator: operatorFront.answer,
    sendToEntry: (to, address, message) =>
      links.send(to, address, encodeEntryMessage(message)),
    sendToControl: (to, message) =>
      links.send(to, findControlAddress(settings, to), message),
    redirectEntry: (to, message) => links.send(to, undefined, message),
    sendEndpointOrder: endpointOrders.send,
    setTimer: timers.set,
    recordEnd: effect => {
      metrics.recordEnd(effect);
      logger.write({kind: 'requestEnded', end: effect});
    },
    exit: () => void openResponses.drain().then(context.onDrained),
  };
  createEndpointFront({
    server,
    post,
    findLeader: set => findLeader(node, set, clock),
  });
  addHealthRoutes({server, metrics, readReady: () => isReady(node)});
  await listenWithRetry(context, settings.http, () =>
    listenForCalls(server, settings.http, {
      clock,
      onSample: metrics.recordAcceptWait,
      onDelayed: delay => logger.write({kind: 'acceptDelayed', ...delay}),
    }),
  );
  post({kind: 'started'});
  logger.write({
    kind: 'daemonReady',
    node: settings.node,
    sinceStartMs: Math.round(1_000 * process.uptime()),
  });
  return {
    drain: () => post({kind: 'shutdownRequested'}),
    reload: () => undefined,
  };
}

function createIdentity(
  settings: EntrydSettings,
  peer: PeerAddress,
): EntryIdentity {
  return {
    address: {
      node: settings.node,
      region: settings.region,
      domain: settings.domain,
      peer,
      http: settings.http,
    },
    incarnation: drawIdentifier<IncarnationId>(),
    controlNodes: settings.control.map(member => member.node),
  };
}

function readOperatorAccess(settings: EntrydSettings): OperatorAccess {
  const file = settings.operator_keys_file;
  return file === undefined
    ? {kind: 'insecure'}
    : {kind: 'keys', keys: readOperatorKeys({file})};
}

/** Creates the memory accounts of the daemon. */
function createGates({limits}: EntrydSettings, clock: Clock) {
  const memoryBytes = limits.memory_mb * BYTES_PER_MB;
  const plan = planMemory(memoryBytes);
  return {
    memoryBytes,
    plan,
    callerGate: createMemoryGate(plan.callerBytes, clock),
    managementGate: createMemoryGate(plan.documentBytes, clock),
  };
}

/** Finds the rank of the tier that a request names. */
function findRank({view}: EntryNode, tier: string | undefined): number {
  return (
    findObject(view.configuration, 'tier', tier ?? '')?.rank ?? UNKNOWN_RANK
  );
}

function isReady(node: EntryNode): boolean {
  const {service, control} = node.view;
  return (
    service.kind === 'serving' &&
    isLeaseValid(control.lease, readInstant(createSystemClock()))
  );
}

function findControlAddress(settings: EntrydSettings, node: NodeId) {
  return settings.control.find(member => member.node === node)?.peer;
}

function findLeader(
  {view: {configuration, control}}: EntryNode,
  set: EndpointSetId,
  clock: Clock,
): ReturnType<typeof findLeaderAddress> {
  const {directory, lease} = control;
  const query = {configuration, directory, lease, set};
  return findLeaderAddress(query, readInstant(clock));
}
