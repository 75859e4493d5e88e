import type {Clock, Milliseconds} from '@gentianshunt/clock';
import {createControlNode} from '@gentianshunt/controlNode';
import type {ControlNode} from '@gentianshunt/controlNode';
import type {
  ControlEffect,
  ControlObservation,
  PersistBatch,
} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {
  ConsensusMessage,
  ControlToEntry,
  StorageId,
} from '@gentianshunt/messages';

import {createControlIdentity} from './identities.js';
import type {FakeProcess} from './fakeProcess.js';
import type {StepListener} from './steps.js';

/** Time that the simulated disk takes to sync a batch. */
const SYNC_MS: Milliseconds = 1;

/** The data folders of a message's sender and receiver. */
export interface StorageFilter {
  readonly from: StorageId;
  /** Folder that the receiver must have; with `null` it may have any. */
  readonly to: StorageId | null;
}

/** Sends the messages of a simulated control daemon. */
export interface ControlPeers {
  sendToControl(
    to: string,
    message: ConsensusMessage,
    storage: StorageFilter,
  ): void;
  sendToEntry(to: string, message: ControlToEntry): void;
}

/** Options of a simulated control daemon. */
export interface ControlHostOptions {
  readonly process: FakeProcess;
  readonly clock: Clock;
  readonly peers: ControlPeers;
  readonly onStep: StepListener;
}

/** A control daemon with a simulated disk and simulated links. */
export interface ControlHost {
  readonly process: FakeProcess;
  readonly node: ControlNode;
  /** Id of the data folder on the disk; after a loss it is a new one. */
  readonly storage: StorageId;
  post(observation: ControlObservation): void;
  start(): void;
  /** Discards everything on the disk. */
  loseDisk(): void;
  /** Makes the next sync fail, which ends the daemon. */
  failSync(): void;
}

type Started = Extract<ControlObservation, {readonly kind: 'started'}>;

interface DiskState {
  stored: Started;
  /** Number of data folders that the member has had. */
  folder: number;
  failsNextSync: boolean;
}

const EMPTY_DISK: Started = {
  kind: 'started',
  ballot: {term: 0, votedFor: null},
  snapshot: null,
  base: {index: 0, term: 0},
  entries: [],
};

/** Creates a control daemon that is not yet started. */
export function createControlHost(options: ControlHostOptions): ControlHost {
  const {process, onStep} = options;
  const disk: DiskState = {
    stored: EMPTY_DISK,
    folder: 1,
    failsNextSync: false,
  };
  let node = createNode(options, disk, effect => handle(effect));
  let version = 0;
  const post = (observation: ControlObservation): void =>
    process.run(() => {
      node.post(observation);
      const {applied, role} = node.view;
      if (applied.version > version) {
        version = applied.version;
        const step = role.kind === 'leader' ? 'committed' : 'applied';
        onStep(step, {control: process});
      }
    });
  const handle = (effect: ControlEffect): void =>
    perform(options, disk, effect, post);
  return {
    process,
    get node() {
      return node;
    },
    get storage() {
      return readStorage(process, disk);
    },
    post,
    start: () => {
      node = createNode(options, disk, effect => handle(effect));
      version = 0;
      post(disk.stored);
    },
    loseDisk: () => {
      disk.stored = EMPTY_DISK;
      disk.folder += 1;
    },
    failSync: () => {
      disk.failsNextSync = true;
    },
  };
}

function readStorage(process: FakeProcess, disk: DiskState): StorageId {
  return toIdentifier(`${process.id}.folder-${disk.folder}`);
}

function createNode(
  {process, clock}: ControlHostOptions,
  disk: DiskState,
  handle: (effect: ControlEffect) => void,
): ControlNode {
  const {incarnation} = process;
  return createControlNode({
    identity: createControlIdentity(process, readStorage(process, disk)),
    clock,
    perform: effect => {
      // Effects of a process that has just been killed are not executed.
      if (process.isAlive && process.incarnation === incarnation) {
        handle(effect);
      }
    },
  });
}

function perform(
  options: ControlHostOptions,
  disk: DiskState,
  effect: ControlEffect,
  post: (observation: ControlObservation) => void,
): void {
  const {process, peers, onStep} = options;
  switch (effect.kind) {
    case 'persist':
      persist(options, disk, effect.batch, post);
      return;
    case 'sendConsensus':
      peers.sendToControl(effect.to, effect.message, {
        from: readStorage(process, disk),
        to: effect.storage,
      });
      return;
    case 'sendEntry':
      if (effect.message.kind === 'commandReply') {
        onStep('answered', {control: process});
      }
      peers.sendToEntry(effect.to, effect.message);
      return;
    case 'setTimer': {
      const {timer, delayMs} = effect;
      process.setTimer(timer.kind, delayMs, () =>
        post({kind: 'timerDue', timer}),
      );
      return;
    }
    case 'logDecision':
      return;
    case 'halt':
      process.kill();
      return;
    default:
      assertNever(effect, 'perform');
  }
}

function persist(
  {process, onStep}: ControlHostOptions,
  disk: DiskState,
  batch: PersistBatch,
  post: (observation: ControlObservation) => void,
): void {
  if (batch.entries.some(entry => entry.payload.kind === 'command')) {
    onStep('appended', {control: process});
  }
  process.schedule(SYNC_MS, () => {
    if (disk.failsNextSync) {
      disk.failsNextSync = false;
      process.kill();
      return;
    }
    disk.stored = storeBatch(disk.stored, batch);
    post({kind: 'persisted', sequence: batch.sequence});
  });
}

function storeBatch(stored: Started, batch: PersistBatch): Started {
  const ballot = batch.ballot ?? stored.ballot;
  switch (batch.kind) {
    case 'append': {
      const from = batch.truncateFrom ?? Infinity;
      const kept = stored.entries.filter(entry => entry.index < from);
      return {...stored, ballot, entries: [...kept, ...batch.entries]};
    }
    case 'compact': {
      const {snapshot, base, entries} = batch;
      return {kind: 'started', ballot, snapshot, base, entries};
    }
    default:
      return assertNever(batch, 'storeBatch');
  }
}
