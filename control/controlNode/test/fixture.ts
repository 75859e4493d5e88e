import {createManualClock} from '@gentianshunt/clock';
import type {ManualClock, Milliseconds} from '@gentianshunt/clock';
import type {ObjectCommand} from '@gentianshunt/configuration';
import {DEFAULT_LOG_BOUNDS} from '@gentianshunt/controlModel';
import type {
  Ballot,
  ControlDecision,
  ControlEffect,
  LogBounds,
} from '@gentianshunt/controlModel';
import type {
  ControlToEntry,
  EntryToControl,
  LogEntry,
  OperatorCommand,
} from '@gentianshunt/messages';
import {computeEntryLeaseMs} from '@gentianshunt/entrySessions';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';

import {createControlNode} from '../src/index.js';
import type {ControlNode} from '../src/index.js';

const SELF = toIdentifier<NodeId>('control-0');
const ELECTION_WAIT_MS = 10_000;
/** The bound of the fixture's settings, unless a test names another one. */
export const RELEASE_APPLY_MS: Milliseconds = 2_000;
/** The lease that its leader grants to entries. */
export const ENTRY_LEASE_MS = computeEntryLeaseMs({
  releaseApplyMs: RELEASE_APPLY_MS,
});

/** What the disk holds when a control daemon starts. */
export interface Stored {
  readonly ballot: Ballot;
  readonly entries: readonly LogEntry[];
}

/** An empty disk. */
export const NOTHING_STORED: Stored = {
  ballot: {term: 0, votedFor: null},
  entries: [],
};

/** A single control daemon whose disk syncs at once. */
export interface ControlFixture {
  readonly node: ControlNode;
  readonly clock: ManualClock;
  /** Removes and returns the messages sent to entries. */
  takeSent(): readonly {
    readonly to: NodeId;
    readonly message: ControlToEntry;
  }[];
  /** Removes and returns the decisions that were logged. */
  takeDecisions(): readonly ControlDecision[];
  receive(from: string, message: EntryToControl): void;
  /** Sends an entry's message and returns the replies to that entry. */
  ask(from: string, message: EntryToControl): readonly ControlToEntry[];
  advance(ms: number): void;
  /** Returns what a restart would find on the disk. */
  readStored(): Stored;
}

/** Bounds of a control daemon that differ from the usual ones. */
export interface FixtureBounds {
  readonly releaseApplyMs?: Milliseconds | undefined;
  readonly logBounds?: LogBounds;
}

/** Starts a single control daemon and makes it the leader. */
export function createControlFixture(
  stored: Stored = NOTHING_STORED,
  {
    releaseApplyMs = RELEASE_APPLY_MS,
    logBounds = DEFAULT_LOG_BOUNDS,
  }: FixtureBounds = {},
): ControlFixture {
  const clock = createManualClock();
  const sent: {to: NodeId; message: ControlToEntry}[] = [];
  const decisions: ControlDecision[] = [];
  const node = createControlNode({
    identity: {
      node: SELF,
      bootstrapMembers: [SELF],
      admission: {kind: 'listed'},
      storage: toIdentifier('folder'),
      seed: 1,
      releaseApplyMs,
      logBounds,
    },
    clock,
    perform: effect => perform(effect),
  });
  const perform = (effect: ControlEffect): void => {
    if (effect.kind === 'persist') {
      node.post({kind: 'persisted', sequence: effect.batch.sequence});
    }
    if (effect.kind === 'sendEntry') {
      sent.push({to: effect.to, message: effect.message});
    }
    if (effect.kind === 'logDecision') {
      decisions.push(effect.decision);
    }
  };
  const takeSent: ControlFixture['takeSent'] = () => sent.splice(0);
  const receive: ControlFixture['receive'] = (from, message) =>
    node.post({kind: 'entryMessage', from: toIdentifier(from), message});
  node.post({
    kind: 'started',
    snapshot: null,
    base: {index: 0, term: 0},
    ...stored,
  });
  clock.advance(ELECTION_WAIT_MS);
  node.post({kind: 'timerDue', timer: {kind: 'election'}});
  return {
    node,
    clock,
    takeSent,
    takeDecisions: () => decisions.splice(0),
    receive,
    ask: (from, message) => {
      takeSent();
      receive(from, message);
      return takeSent()
        .filter(({to}) => to === from)
        .map(reply => reply.message);
    },
    advance: ms => {
      clock.advance(ms);
      node.post({kind: 'timerDue', timer: {kind: 'heartbeat'}});
      node.post({kind: 'timerDue', timer: {kind: 'sessions'}});
    },
    readStored: () => ({
      ballot: node.view.ballot,
      entries: Array.from(node.view.log.iterateFrom(), ({value}) => value),
    }),
  };
}

/** An entry's heartbeat to the control daemons. */
export type Heartbeat = Extract<
  EntryToControl,
  {readonly kind: 'entryHeartbeat'}
>;

/** Creates the heartbeat of an entry. */
export function createHeartbeat(
  node: string,
  changes: Partial<Heartbeat> = {},
): Heartbeat {
  return {
    kind: 'entryHeartbeat',
    entry: {
      node: toIdentifier(node),
      region: toIdentifier('local'),
      domain: toIdentifier('a'),
      peer: {host: '127.0.0.1', port: 1},
      http: {host: '127.0.0.1', port: 2},
    },
    incarnation: toIdentifier(`${node}-1`),
    sequence: 1,
    version: 0,
    directoryVersion: {term: 0, number: 0, digest: 0},
    draining: false,
    setsInUse: [],
    ...changes,
  };
}

/** Creates a command that creates or replaces a tier. */
export function createTierCommand(
  id: string,
  rank: number,
  expectedRevision: number | null = null,
): ObjectCommand {
  return {
    kind: 'put',
    object: {
      kind: 'tier',
      id: toIdentifier(id),
      revision: 0,
      rank,
      weight: 1,
      firstTokenTargetMs: 1_000,
      objective: 0.95,
    },
    expectedRevision,
  };
}

/** Creates a command that creates an endpoint set. */
export function createSetCommand(id: string, region = 'local'): ObjectCommand {
  return {
    kind: 'put',
    object: {
      kind: 'endpointSet',
      id: toIdentifier(id),
      revision: 0,
      region: toIdentifier(region),
      service: {kind: 'plain', service: id},
    },
    expectedRevision: null,
  };
}

/** The message with which an entry proposes a whole configuration. */
export type ReplacementRequest = Extract<
  EntryToControl,
  {readonly kind: 'replacementRequest'}
>;

/** Creates an entry's request to replace the whole configuration. */
export function createReplacementRequest(
  version: number,
  tiers: readonly string[],
  documentBytes = 10,
): ReplacementRequest {
  const objects = tiers.flatMap((id, index) => {
    const command = createTierCommand(id, index + 1);
    return command.kind === 'put' ? [command.object] : [];
  });
  return {
    kind: 'replacementRequest',
    correlation: toIdentifier(`replacement-${version}`),
    replacement: {version, objects, source: new Uint8Array(documentBytes)},
  };
}

/** Creates an operator's numbered batch of commands. */
export function createCommand(
  number: number,
  commands: readonly ObjectCommand[] = [createTierCommand('gold', 1)],
  operator = 'anna',
): OperatorCommand {
  return {
    number,
    operator: toIdentifier(operator),
    digest: JSON.stringify(commands),
    commands,
  };
}

/** Creates an entry's request to execute an operator's command. */
export function createCommandRequest(command: OperatorCommand): EntryToControl {
  return {
    kind: 'commandRequest',
    correlation: toIdentifier(`c${command.number}-${command.operator}`),
    command,
  };
}
