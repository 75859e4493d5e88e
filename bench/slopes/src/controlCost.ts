import {readFileSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';

import {createDeployment} from '@gentianshunt/deployment';
import {readResidentMemory} from '@gentianshunt/entry';
import type {EntryToControl} from '@gentianshunt/messages';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import {createPeerLinks} from '@gentianshunt/peerLinks';
import type {PeerAddress, PeerLinks} from '@gentianshunt/peerLinks';
import {encodeFrame} from '@gentianshunt/frames';

const CONTROLS = 3;
const HEARTBEAT_MS = 500;
const SETTLE_MS = 5_000;
const MEASURED_MS = 8_000;
const CLOCK_TICKS_PER_SECOND = 100;
const MILLISECONDS_PER_SECOND = 1_000;

/** What a number of entries costs the control daemons. */
export interface ControlCost {
  readonly leaderCores: number;
  readonly followerCores: number;
  readonly leaderMb: number;
  readonly followerMb: number;
  /** Bytes a second of one entry, both ways. */
  readonly entryBytesPerSecond: number;
}

interface Traffic {
  bytes: number;
  version: number;
  directoryVersion: {readonly term: number; readonly number: number};
  leader: NodeId | undefined;
}

/** Runs control daemons with links that stand in for entries. */
export async function measureControl(entries: number): Promise<ControlCost> {
  const deployment = await createDeployment({controls: CONTROLS, entries: 0});
  const controls = deployment.controls.map(control => ({
    node: toIdentifier<NodeId>(control.node),
    pid: control.process.child.pid!,
    address: readPeerAddress(control.settingsFile),
  }));
  const traffic: Traffic[] = [];
  const links = await Promise.all(
    Array.from({length: entries}, async (_, index) => {
      const own: Traffic = {
        bytes: 0,
        version: 0,
        directoryVersion: {term: 0, number: 0},
        leader: undefined,
      };
      traffic.push(own);
      return createStandIn(index, own, controls);
    }),
  );
  await delay(SETTLE_MS);
  traffic.forEach(own => (own.bytes = 0));
  const before = controls.map(({pid}) => readProcessorTicks(pid));
  await delay(MEASURED_MS);
  const cores = controls.map(
    ({pid}, index) =>
      (readProcessorTicks(pid) - before[index]!) /
      CLOCK_TICKS_PER_SECOND /
      (MEASURED_MS / MILLISECONDS_PER_SECOND),
  );
  const memory = controls.map(({pid}) => readResidentMemory(pid));
  const leader = controls.findIndex(({node}) => node === traffic[0]!.leader);
  const follower = (leader + 1) % CONTROLS;
  const bytes = traffic.reduce((sum, own) => sum + own.bytes, 0);
  await Promise.all(links.map(close => close()));
  await deployment.stop();
  return {
    leaderCores: cores[leader]!,
    followerCores: cores[follower]!,
    leaderMb: memory[leader]!,
    followerMb: memory[follower]!,
    entryBytesPerSecond:
      bytes / entries / (MEASURED_MS / MILLISECONDS_PER_SECOND),
  };
}

interface ControlPeer {
  readonly node: NodeId;
  readonly address: PeerAddress;
}

/** Sends heartbeats as an entry does and follows the leader. */
async function createStandIn(
  index: number,
  own: Traffic,
  controls: readonly ControlPeer[],
): Promise<() => Promise<void>> {
  const node = toIdentifier<NodeId>(`entry-${index}`);
  let sequence = 0;
  let isAnswered = false;
  const links: PeerLinks = await createPeerLinks({
    self: node,
    listen: {host: '127.0.0.1', port: 0},
    onMessage: (from, body) => {
      own.bytes += encodeFrame({kind: 'message', body}).length;
      isAnswered = followReply(own, from, body) || isAnswered;
    },
    onError: () => undefined,
    drawFraction: Math.random,
  });
  const beat = (): void => {
    sequence += 1;
    if (!isAnswered) {
      own.leader = controls[sequence % controls.length]!.node;
    }
    isAnswered = false;
    const peer = controls.find(control => control.node === own.leader)!;
    const message = createHeartbeat(node, links.address, sequence, own);
    own.bytes += encodeFrame({kind: 'message', body: message}).length;
    links.send(peer.node, peer.address, message);
  };
  const timer = setInterval(beat, HEARTBEAT_MS);
  return () => {
    clearInterval(timer);
    return links.close();
  };
}

interface ControlReply {
  readonly kind: string;
  readonly version?: number;
  readonly leader?: NodeId | null;
  readonly directory?: {
    readonly kind: string;
    readonly version?: Traffic['directoryVersion'];
    readonly directory?: {readonly version: Traffic['directoryVersion']};
  } | null;
}

/** Notes versions and the leader; tells whether the leader answered. */
function followReply(own: Traffic, from: NodeId, body: unknown): boolean {
  const reply = body as ControlReply;
  if (reply.kind === 'configurationUpdate') {
    const {directory} = reply;
    own.leader = from;
    own.version = reply.version ?? own.version;
    own.directoryVersion =
      directory?.version ??
      directory?.directory?.version ??
      own.directoryVersion;
    return true;
  }
  if (reply.kind === 'notLeader' && reply.leader) {
    own.leader = reply.leader;
    return true;
  }
  return false;
}

function createHeartbeat(
  node: NodeId,
  peer: PeerAddress,
  sequence: number,
  own: Traffic,
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
    version: own.version,
    directoryVersion: own.directoryVersion,
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
