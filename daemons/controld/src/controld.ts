import type {
  ControlObservation,
  ControlOrder,
  ControlTimer,
} from '@gentianshunt/controlModel';
import {createControlNode} from '@gentianshunt/controlNode';
import type {ControlNode} from '@gentianshunt/controlNode';
import {assertNever} from '@gentianshunt/errors';
import {openLogFile} from '@gentianshunt/logFile';
import type {LogFile} from '@gentianshunt/logFile';
import {createLogger} from '@gentianshunt/logging';
import {addHealthRoutes, createControlMetrics} from '@gentianshunt/metrics';
import {createPeerLinks} from '@gentianshunt/peerLinks';
import type {PeerLinks} from '@gentianshunt/peerLinks';
import {
  createSystemClock,
  createTimerTable,
  drawFraction,
  drawSeed,
} from '@gentianshunt/runtime';
import type {TimerTable} from '@gentianshunt/runtime';
import type {ControldSettings} from '@gentianshunt/settings';
import {fastify} from 'fastify';
import type {FastifyInstance} from 'fastify';

import {toObservation} from './peerMessages.js';

const logger = createLogger({namespace: 'controld'});

/** What a control daemon needs. */
export interface ControldOptions {
  readonly settings: ControldSettings;
  /** Called when the disk failed; the process must end. */
  readonly onFailed: (error: Error) => void;
}

/** A running control daemon. */
export interface Controld {
  close(): Promise<void>;
}

interface Adapters {
  readonly links: PeerLinks;
  readonly timers: TimerTable<ControlTimer>;
  readonly logFile: LogFile;
}

/** Starts a control daemon: its log, its links and its control loop. */
export async function createControld(
  options: ControldOptions,
): Promise<Controld> {
  const {settings} = options;
  const post = (observation: ControlObservation): void =>
    node.post(observation);
  const logFile = await openLogFile({
    dataFolder: settings.data_folder,
    onPersisted: sequence => post({kind: 'persisted', sequence}),
    onFailed: options.onFailed,
  });
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
  const timers = createTimerTable<ControlTimer>({
    onDue: timer => post({kind: 'timerDue', timer}),
  });
  const adapters: Adapters = {links, timers, logFile};
  const node: ControlNode = createControlNode({
    identity: {
      node: settings.node,
      members: settings.control.map(member => member.node),
      seed: drawSeed(),
    },
    clock: createSystemClock(),
    perform: order => perform(settings, adapters, order),
  });
  post({kind: 'started', ...logFile.stored});
  const server = await listenForHealth(settings, node);
  return {
    close: async () => {
      timers.clear();
      await server?.close();
      await links.close();
      await logFile.close();
    },
  };
}

function perform(
  settings: ControldSettings,
  adapters: Adapters,
  order: ControlOrder,
): void {
  switch (order.kind) {
    case 'persist':
      adapters.logFile.persist(order.batch);
      return;
    case 'sendConsensus': {
      const address = settings.control.find(
        member => member.node === order.to,
      )?.peer;
      adapters.links.send(order.to, address, order.message);
      return;
    }
    case 'sendEntry':
      // Entries connect to the control daemons, never the other way round.
      adapters.links.send(order.to, undefined, order.message);
      return;
    case 'setTimer':
      adapters.timers.set(order.timer, order.delayMs);
      return;
    default:
      assertNever(order, 'perform');
  }
}

/** Serves metrics and health where the settings ask for it. */
async function listenForHealth(
  settings: ControldSettings,
  node: ControlNode,
): Promise<FastifyInstance | undefined> {
  if (settings.http === undefined) {
    return undefined;
  }
  const server = fastify({forceCloseConnections: true});
  addHealthRoutes({
    server,
    metrics: createControlMetrics({view: node.view}),
    readReady: () => hasLeader(node),
  });
  await server.listen({...settings.http});
  return server;
}

/** Tells whether the member leads or follows a leader. */
function hasLeader(node: ControlNode): boolean {
  const {role} = node.view;
  return (
    role.kind === 'leader' || (role.kind === 'follower' && role.leader !== null)
  );
}
