import type {Milliseconds} from '@gentianshunt/clock';
import type {ControlNode} from '@gentianshunt/controlNode';
import {
  createControlHost,
  DataFolderRefusedError,
  measureFolder,
  readOrderingKey,
} from '@gentianshunt/hosts';
import type {ControlHost} from '@gentianshunt/hosts';
import type {Logger} from '@gentianshunt/logging';
import {addHealthRoutes, createControlMetrics} from '@gentianshunt/metrics';
import {createPeerLinks} from '@gentianshunt/peerLinks';
import {listenWithRetry, openStorage} from '@gentianshunt/processControl';
import type {RunningDaemon, StartContext} from '@gentianshunt/processControl';
import {createSystemClock, drawFraction} from '@gentianshunt/runtime';
import type {ControldSettings} from '@gentianshunt/settings';
import {fastify} from 'fastify';
import type {FastifyInstance} from 'fastify';

/** See `ControlIdentity.releaseApplyMs`. */
const RELEASE_APPLY_MS: Milliseconds = 2_000;
const BYTES_PER_MB = 1_024 * 1_024;

/** Options of a control daemon. */
export interface ControldOptions {
  readonly settings: ControldSettings;
  readonly logger: Logger;
  readonly context: StartContext;
}

/** Starts a control daemon: its log, its links and its control loop. */
export async function createControld({
  settings,
  logger,
  context,
}: ControldOptions): Promise<RunningDaemon> {
  let host: ControlHost | undefined = undefined;
  const links = await listenWithRetry(context, settings.peer, () =>
    createPeerLinks({
      self: settings.node,
      listen: settings.peer,
      onMessage: (from, body) => {
        host?.receive(from, body);
      },
      onError: error => logger.write({kind: 'peerLinkFailed', error}),
      readOrderingKey,
      drawFraction,
    }),
  );
  const storageFailed = (error: Error): void =>
    context.onFailed({kind: 'storageFailed', error});
  const opening = openStorage(() =>
    createControlHost({
      node: settings.node,
      members: settings.control.map(member => member.node),
      admission: {kind: 'listed'},
      releaseApplyMs: RELEASE_APPLY_MS,
      dataFolder: settings.data_folder,
      resources: {
        memoryBytes: settings.limits.memory_mb * BYTES_PER_MB,
        diskBytes: settings.limits.disk_mb * BYTES_PER_MB,
      },
      clock: createSystemClock(),
      sendToMember: (to, envelope) => {
        const member = settings.control.find(({node}) => node === to);
        links.send(to, member?.peer, envelope);
      },
      // Entries connect to control daemons; control daemons never connect to
      // entries, so no address is given.
      sendToEntry: (to, message) => links.send(to, undefined, message),
      logDecision: decision => logger.write({kind: 'controlDecided', decision}),
      onFolderRead: read => logger.write({kind: 'folderRead', ...read}),
      onHalted: reason =>
        storageFailed(new DataFolderRefusedError(settings.data_folder, reason)),
      onFailed: storageFailed,
      onFault: error => context.onFailed({kind: 'fault', error}),
      onEffectFailed: error => logger.write({kind: 'effectFailed', error}),
    }),
  );
  host = await opening;
  const {node, close} = host;
  const server = await listenForHealth(settings, node, context);
  logger.write({
    kind: 'daemonReady',
    node: settings.node,
    sinceStartMs: Math.round(1_000 * process.uptime()),
  });
  const closeAll = async (): Promise<void> => {
    await server?.close();
    await links.close();
    await close();
  };
  return {
    drain: () => void closeAll().then(context.onDrained),
    reload: () => undefined,
  };
}

/** Serves metrics and health if the settings name an address for them. */
async function listenForHealth(
  settings: ControldSettings,
  node: ControlNode,
  context: StartContext,
): Promise<FastifyInstance | undefined> {
  const {http} = settings;
  if (http === undefined) {
    return undefined;
  }
  const server = fastify({forceCloseConnections: true});
  addHealthRoutes({
    server,
    metrics: createControlMetrics({
      view: node.view,
      measureFolder: () => measureFolder(settings.data_folder),
    }),
    readReady: () => hasLeader(node),
  });
  await listenWithRetry(context, http, () => server.listen({...http}));
  return server;
}

/** Returns whether the member is the leader or knows the leader. */
function hasLeader(node: ControlNode): boolean {
  const {role} = node.view;
  return (
    role.kind === 'leader' || (role.kind === 'follower' && role.leader !== null)
  );
}
