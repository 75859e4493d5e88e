import type {ControlNode} from '@gentianshunt/controlNode';
import {createControlHost, DataFolderRefusedError} from '@gentianshunt/hosts';
import type {ControlHost} from '@gentianshunt/hosts';
import {createLogger} from '@gentianshunt/logging';
import {addHealthRoutes, createControlMetrics} from '@gentianshunt/metrics';
import {createPeerLinks} from '@gentianshunt/peerLinks';
import {createSystemClock, drawFraction} from '@gentianshunt/runtime';
import type {ControldSettings} from '@gentianshunt/settings';
import {fastify} from 'fastify';
import type {FastifyInstance} from 'fastify';

/** Options of a control daemon. */
export interface ControldOptions {
  readonly settings: ControldSettings;
  /**
   * Called when the disk failed or the group rejects the data folder. The
   * process must end.
   */
  readonly onFailed: (error: Error) => void;
}

/** A running control daemon. */
export interface Controld {
  close(): Promise<void>;
}

/** Starts a control daemon: its log, its links and its control loop. */
export async function createControld(
  options: ControldOptions,
): Promise<Controld> {
  const {settings, onFailed} = options;
  const logger = createLogger({node: settings.node});
  let host: ControlHost | undefined = undefined;
  const links = await createPeerLinks({
    self: settings.node,
    listen: settings.peer,
    onMessage: (from, body) => {
      host?.receive(from, body);
    },
    onError: error => logger.write({kind: 'peerLinkFailed', error}),
    drawFraction,
  });
  host = await createControlHost({
    node: settings.node,
    members: settings.control.map(member => member.node),
    admission: {kind: 'listed'},
    dataFolder: settings.data_folder,
    clock: createSystemClock(),
    sendToMember: (to, envelope) => {
      const member = settings.control.find(({node}) => node === to);
      links.send(to, member?.peer, envelope);
    },
    // Entries connect to control daemons; control daemons never connect to
    // entries, so no address is given.
    sendToEntry: (to, message) => links.send(to, undefined, message),
    logDecision: decision => logger.write({kind: 'controlDecided', decision}),
    onHalted: reason =>
      onFailed(new DataFolderRefusedError(settings.data_folder, reason)),
    onFailed: error => {
      logger.write({kind: 'diskFailed', error});
      void logger.flush().then(() => onFailed(error));
    },
  });
  const {node, close} = host;
  const server = await listenForHealth(settings, node);
  logger.write({kind: 'daemonReady', node: settings.node});
  return {
    close: async () => {
      await server?.close();
      await links.close();
      await close();
      logger.write({
        kind: 'daemonStopped',
        exitCode: 0,
        cause: 'stopped',
        error: null,
      });
      await logger.flush();
    },
  };
}

/** Serves metrics and health if the settings name an address for them. */
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

/** Returns whether the member is the leader or knows the leader. */
function hasLeader(node: ControlNode): boolean {
  const {role} = node.view;
  return (
    role.kind === 'leader' || (role.kind === 'follower' && role.leader !== null)
  );
}
