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
/** Time between two heartbeats of a subscriber. */
const HEARTBEAT_MS = 1_000;
/** Time without an answer after which a command is sent again. */
const RESEND_MS = 100;

/** A control daemon that a subscriber may ask. */
export interface ControlPeer {
  readonly node: NodeId;
  readonly address: PeerAddress;
}

/** What a subscriber needs. */
export interface EntrySubscriberOptions {
  readonly node: NodeId;
  readonly controls: readonly ControlPeer[];
  /** Called whenever the subscriber holds a newer version. */
  readonly onVersion?: (version: number) => void;
}

/** A stand-in entry. */
export interface EntrySubscriber {
  readonly version: number;
  /** The daemon that answered last, as far as known. */
  readonly leader: NodeId | null;
  /** Sends a command until it is answered. */
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
  answered: boolean;
  readonly waiting: Map<RequestId, (answer: CommandAnswer) => void>;
  readonly resending: Set<NodeJS.Timeout>;
}

/** Starts a stand-in entry that heartbeats to the leading control daemon. */
export async function createEntrySubscriber(
  options: EntrySubscriberOptions,
): Promise<EntrySubscriber> {
  const state: SubscriberState = {
    version: 0,
    directoryVersion: NO_DIRECTORY_VERSION,
    leader: null,
    sequence: 0,
    answered: true,
    waiting: new Map(),
    resending: new Set(),
  };
  const links = await createPeerLinks({
    self: options.node,
    listen: {host: HOST, port: 0},
    onMessage: (from, body) => {
      handleMessage(state, options, links, from, body as ControlToEntry);
    },
    // Tests kill control daemons on purpose; lost links are made anew.
    onError: () => undefined,
    drawFraction,
  });
  const beat = (): void => {
    state.leader = state.answered ? state.leader : null;
    state.answered = false;
    state.sequence += 1;
    send(state, options, links, createHeartbeat(state, options, links));
  };
  const timer = setInterval(beat, HEARTBEAT_MS);
  beat();
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
      state.resending.forEach(clearInterval);
      await links.close();
    },
  };
}

/** Sends to the leader, or to each daemon in turn while none is known. */
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
      state.answered = true;
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
      state.answered = true;
      state.leader = message.leader;
      return;
    case 'commandReply':
      state.leader = from;
      state.waiting.get(message.correlation)?.(message.answer);
      state.waiting.delete(message.correlation);
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
    const resend = setInterval(() => {
      // Whoever did not answer may be gone; ask the next one.
      state.leader = null;
      send(state, options, links, message);
    }, RESEND_MS);
    state.resending.add(resend);
    state.waiting.set(correlation, answer => {
      clearInterval(resend);
      state.resending.delete(resend);
      resolve(answer);
    });
    send(state, options, links, message);
  });
}
