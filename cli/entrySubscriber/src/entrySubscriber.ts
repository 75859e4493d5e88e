import type {ObjectCommand} from '@gentianshunt/configuration';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId, OperatorId, RequestId} from '@gentianshunt/identifiers';
import {NO_DIRECTORY_VERSION} from '@gentianshunt/messages';
import type {
  CommandAnswer,
  ControlToEntry,
  DirectoryVersion,
  EntryToControl,
} from '@gentianshunt/messages';
import {createPeerLinks} from '@gentianshunt/peerLinks';
import type {PeerAddress, PeerLinks} from '@gentianshunt/peerLinks';
import {drawFraction} from '@gentianshunt/runtime';

type ConfigurationUpdate = Extract<
  ControlToEntry,
  {readonly kind: 'configurationUpdate'}
>;

const HOST = '127.0.0.1';
const HEARTBEAT_MS = 1_000;
/** Interval at which an unanswered command is sent again. */
const RESEND_MS = 100;

/** A control daemon that a subscriber may send to. */
export interface ControlPeer {
  readonly node: NodeId;
  readonly address: PeerAddress;
}

export interface EntrySubscriberOptions {
  readonly node: NodeId;
  readonly controls: readonly ControlPeer[];
  /** Called with each newer configuration version. */
  readonly onVersion?: (version: number) => void;
}

/** A stand-in entry that takes no requests. */
export interface EntrySubscriber {
  /** Configuration version that the subscriber has received. */
  readonly version: number;
  /** The leading control daemon; `null` if unknown. */
  readonly leader: NodeId | null;
  /** Sends commands as one batch, and resends it until it is answered. */
  command(
    number: number,
    commands: readonly ObjectCommand[],
  ): Promise<CommandAnswer>;
  close(): Promise<void>;
}

interface SubscriberState {
  version: number;
  directoryVersion: DirectoryVersion;
  leader: NodeId | null;
  sequence: number;
  isHeartbeatAnswered: boolean;
  readonly pendingCommands: Map<RequestId, (answer: CommandAnswer) => void>;
  readonly resendTimers: Set<NodeJS.Timeout>;
}

/** Starts a stand-in entry that sends heartbeats to the control leader. */
export async function createEntrySubscriber(
  options: EntrySubscriberOptions,
): Promise<EntrySubscriber> {
  const state: SubscriberState = {
    version: 0,
    directoryVersion: NO_DIRECTORY_VERSION,
    leader: null,
    sequence: 0,
    isHeartbeatAnswered: true,
    pendingCommands: new Map(),
    resendTimers: new Set(),
  };
  const links = await createPeerLinks({
    self: options.node,
    listen: {host: HOST, port: 0},
    onMessage: (from, body) => {
      handleMessage(state, options, links, from, body as ControlToEntry);
    },
    // Errors are expected: tests kill control daemons, and the links
    // reconnect.
    onError: () => undefined,
    drawFraction,
  });
  const sendHeartbeat = (): void => {
    state.leader = state.isHeartbeatAnswered ? state.leader : null;
    state.isHeartbeatAnswered = false;
    state.sequence += 1;
    send(state, options, links, createHeartbeat(state, options, links));
  };
  const timer = setInterval(sendHeartbeat, HEARTBEAT_MS);
  sendHeartbeat();
  return {
    get version() {
      return state.version;
    },
    get leader() {
      return state.leader;
    },
    command: (number, commands) =>
      sendCommand(state, options, links, number, commands),
    close: async () => {
      clearInterval(timer);
      state.resendTimers.forEach(clearInterval);
      await links.close();
    },
  };
}

/** Sends to the leader, or to the next daemon while no leader is known. */
function send(
  state: SubscriberState,
  {controls}: EntrySubscriberOptions,
  links: PeerLinks,
  message: EntryToControl,
): void {
  const known = controls.find(({node}) => node === state.leader);
  state.sequence += known === undefined ? 1 : 0;
  const {node, address} = known ?? controls[state.sequence % controls.length]!;
  links.send(node, address, message);
}

function createHeartbeat(
  state: SubscriberState,
  options: EntrySubscriberOptions,
  links: PeerLinks,
): EntryToControl {
  return {
    kind: 'entryHeartbeat',
    entry: {
      node: options.node,
      region: toIdentifier('local'),
      domain: toIdentifier('a'),
      peer: links.address,
      http: links.address,
    },
    incarnation: toIdentifier(options.node),
    sequence: state.sequence,
    version: state.version,
    directoryVersion: state.directoryVersion,
    draining: true,
    setsInUse: [],
  };
}

function applyUpdate(
  state: SubscriberState,
  options: EntrySubscriberOptions,
  {version, directory}: ConfigurationUpdate,
): void {
  if (directory !== null) {
    state.directoryVersion =
      directory.kind === 'replace'
        ? directory.directory.version
        : directory.version;
  }
  if (version > state.version) {
    state.version = version;
    options.onVersion?.(version);
  }
}

function handleMessage(
  state: SubscriberState,
  options: EntrySubscriberOptions,
  links: PeerLinks,
  from: NodeId,
  message: ControlToEntry,
): void {
  switch (message.kind) {
    case 'configurationUpdate':
      state.isHeartbeatAnswered = true;
      state.leader = from;
      applyUpdate(state, options, message);
      if (message.sequence === null) {
        send(state, options, links, {
          kind: 'versionConfirmed',
          version: state.version,
          directoryVersion: state.directoryVersion,
        });
      }
      return;
    case 'notLeader':
      state.isHeartbeatAnswered = true;
      state.leader = message.leader;
      return;
    case 'commandReply':
      state.leader = from;
      state.pendingCommands.get(message.correlation)?.(message.answer);
      state.pendingCommands.delete(message.correlation);
      return;
    default:
      return;
  }
}

function sendCommand(
  state: SubscriberState,
  options: EntrySubscriberOptions,
  links: PeerLinks,
  number: number,
  commands: readonly ObjectCommand[],
): Promise<CommandAnswer> {
  const correlation = toIdentifier<RequestId>(`${options.node}-${number}`);
  const message: EntryToControl = {
    kind: 'commandRequest',
    correlation,
    command: {
      number,
      operator: toIdentifier<OperatorId>('bench'),
      digest: JSON.stringify(commands),
      commands,
    },
  };
  return new Promise(resolve => {
    const resendTimer = setInterval(() => {
      // The daemon that did not answer may have failed; try the next one.
      state.leader = null;
      send(state, options, links, message);
    }, RESEND_MS);
    state.resendTimers.add(resendTimer);
    state.pendingCommands.set(correlation, answer => {
      clearInterval(resendTimer);
      state.resendTimers.delete(resendTimer);
      resolve(answer);
    });
    send(state, options, links, message);
  });
}
