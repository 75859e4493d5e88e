import {readFileSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';

import {createDeployment} from '@gentianshunt/deployment';
import {readResidentMemory} from '@gentianshunt/entry';
import {NO_DIRECTORY_VERSION} from '@gentianshunt/messages';
import type {DirectoryVersion, EntryToControl} from '@gentianshunt/messages';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import {createPeerLinks} from '@gentianshunt/peerLinks';
import type {PeerAddress, PeerLinks} from '@gentianshunt/peerLinks';
import {encodeFrame} from '@gentianshunt/frames';

const CONTROLS = 3;
const HEARTBEAT_MS = 500;
const WARM_UP_MS = 5_000;
const MEASUREMENT_MS = 8_000;
/** Unit of the processor times in `/proc/PID/stat`. */
const CLOCK_TICKS_PER_SECOND = 100;
const MILLISECONDS_PER_SECOND = 1_000;

/** Processor time, memory and traffic of control daemons serving entries. */
export interface ControlCost {
  readonly leaderCores: number;
  readonly followerCores: number;
  readonly leaderMb: number;
  readonly followerMb: number;
  /** Bytes a second of one entry, both ways. */
  readonly entryBytesPerSecond: number;
}

/** What a stand-in entry has received, and the bytes that it exchanged. */
interface StandInState {
  bytes: number;
  version: number;
  directoryVersion: DirectoryVersion;
  leader: NodeId | undefined;
}

/** Runs control daemons with stand-ins that send the heartbeats of entries. */
export async function measureControl(entries: number): Promise<ControlCost> {
  const deployment = await createDeployment({controls: CONTROLS, entries: 0});
  const controls = deployment.controls.map(control => ({
    node: toIdentifier<NodeId>(control.node),
    pid: control.process.child.pid!,
    address: readPeerAddress(control.settingsFile),
  }));
  const states: StandInState[] = [];
  const links = await Promise.all(
    Array.from({length: entries}, async (_, index) => {
      const state: StandInState = {
        bytes: 0,
        version: 0,
        directoryVersion: NO_DIRECTORY_VERSION,
        leader: undefined,
      };
      states.push(state);
      return startStandInEntry(index, state, controls);
    }),
  );
  await delay(WARM_UP_MS);
  states.forEach(state => (state.bytes = 0));
  const before = controls.map(({pid}) => readProcessorTicks(pid));
  await delay(MEASUREMENT_MS);
  const cores = controls.map(
    ({pid}, index) =>
      (readProcessorTicks(pid) - before[index]!) /
      CLOCK_TICKS_PER_SECOND /
      (MEASUREMENT_MS / MILLISECONDS_PER_SECOND),
  );
  const memory = controls.map(({pid}) => readResidentMemory(pid));
  const leader = controls.findIndex(({node}) => node === states[0]!.leader);
  const follower = (leader + 1) % CONTROLS;
  const bytes = states.reduce((sum, state) => sum + state.bytes, 0);
  await Promise.all(links.map(close => close()));
  await deployment.stop();
  return {
    leaderCores: cores[leader]!,
    followerCores: cores[follower]!,
    leaderMb: memory[leader]!,
    followerMb: memory[follower]!,
    entryBytesPerSecond:
      bytes / entries / (MEASUREMENT_MS / MILLISECONDS_PER_SECOND),
  };
}

interface ControlPeer {
  readonly node: NodeId;
  readonly address: PeerAddress;
}

/** Starts a stand-in that sends an entry's heartbeats to the control leader. */
async function startStandInEntry(
  index: number,
  state: StandInState,
  controls: readonly ControlPeer[],
): Promise<() => Promise<void>> {
  const node = toIdentifier<NodeId>(`entry-${index}`);
  let sequence = 0;
  let isAnswered = false;
  const links: PeerLinks = await createPeerLinks({
    self: node,
    listen: {host: '127.0.0.1', port: 0},
    onMessage: (from, body) => {
      state.bytes += encodeFrame({kind: 'message', body}).length;
      isAnswered = processReply(state, from, body) || isAnswered;
    },
    onError: () => undefined,
    drawFraction: Math.random,
  });
  const sendHeartbeat = (): void => {
    sequence += 1;
    if (!isAnswered) {
      state.leader = controls[sequence % controls.length]!.node;
    }
    isAnswered = false;
    const peer = controls.find(control => control.node === state.leader)!;
    const message = createHeartbeat(node, links.address, sequence, state);
    state.bytes += encodeFrame({kind: 'message', body: message}).length;
    links.send(peer.node, peer.address, message);
  };
  const timer = setInterval(sendHeartbeat, HEARTBEAT_MS);
  return () => {
    clearInterval(timer);
    return links.close();
  };
}

/** The fields of control daemons' replies that a stand-in reads. */
interface ControlReply {
  readonly kind: string;
  readonly version?: number;
  readonly leader?: NodeId | null;
  readonly directory?: {
    readonly kind: string;
    readonly version?: StandInState['directoryVersion'];
    readonly directory?: {readonly version: StandInState['directoryVersion']};
  } | null;
}

/**
 * Records the versions and the leader that a reply names; returns whether it
 * names a leader.
 */
function processReply(
  state: StandInState,
  from: NodeId,
  body: unknown,
): boolean {
  const reply = body as ControlReply;
  if (reply.kind === 'configurationUpdate') {
    const {directory} = reply;
    state.leader = from;
    state.version = reply.version ?? state.version;
    state.directoryVersion =
      directory?.version ??
      directory?.directory?.version ??
      state.directoryVersion;
    return true;
  }
  if (reply.kind === 'notLeader' && reply.leader) {
    state.leader = reply.leader;
    return true;
  }
  return false;
}

function createHeartbeat(
  node: NodeId,
  peer: PeerAddress,
  sequence: number,
  state: StandInState,
): EntryToControl {
  return {
    kind: 'entryHeartbeat',
    entry: {
      node,
      region: toIdentifier('local'),
      domain: toIdentifier('a'),
      peer,
      http: peer,
    },
    incarnation: toIdentifier('start-1'),
    sequence,
    version: state.version,
    directoryVersion: state.directoryVersion,
    draining: false,
    setsInUse: [],
  };
}

function readPeerAddress(settingsFile: string): PeerAddress {
  const text = readFileSync(settingsFile, 'utf8');
  const port = /peer = \{ host = "[^"]+", port = (\d+) \}/.exec(text)![1];
  return {host: '127.0.0.1', port: Number(port)};
}

/** Reads the processor time of a process, in clock ticks. */
function readProcessorTicks(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8')
    .replace(/^.*\) /, '')
    .split(' ');
  return Number(fields[11]) + Number(fields[12]);
}
