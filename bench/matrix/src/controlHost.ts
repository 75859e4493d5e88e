import type {Clock, Milliseconds} from '@gentianshunt/clock';
import {createControlNode} from '@gentianshunt/controlNode';
import type {ControlNode} from '@gentianshunt/controlNode';
import type {
  ControlObservation,
  ControlOrder,
  PersistBatch,
} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {
  ConsensusMessage,
  ControlToEntry,
  StorageId,
} from '@gentianshunt/messages';

import {createControlIdentity} from './deploymentForm.js';
import type {FakeProcess} from './fakeProcess.js';
import type {StepListener} from './steps.js';

/** Time in which the fake disk syncs a batch. */
const SYNC_MS: Milliseconds = 1;

/** The data folders at both ends of a message. */
export interface StorageFilter {
  readonly from: StorageId;
  /** The only folder that may take the message; `null` lets any. */
  readonly to: StorageId | null;
}

/** What the adapters of a control daemon reach. */
export interface ControlPeers {
  sendToControl(
    to: string,
    message: ConsensusMessage,
    storage: StorageFilter,
  ): void;
  sendToEntry(to: string, message: ControlToEntry): void;
}

/** What a hosted control daemon needs. */
export interface ControlHostOptions {
  readonly process: FakeProcess;
  readonly clock: Clock;
  readonly peers: ControlPeers;
  readonly onStep: StepListener;
}

/** A control daemon with a fake disk and fake links. */
export interface ControlHost {
  readonly process: FakeProcess;
  readonly node: ControlNode;
  /** The data folder on the fake disk; a lost disk is another folder. */
  readonly storage: StorageId;
  post(observation: ControlObservation): void;
  start(): void;
  /** Everything on the disk is lost. */
  loseDisk(): void;
  /** The next sync fails, upon which the daemon ends. */
  failSync(): void;
}

type Started = Extract<ControlObservation, {readonly kind: 'started'}>;

interface DiskState {
  stored: Started;
  /** Counts the folders that the member has had. */
  folder: number;
  failsNext: boolean;
}

const EMPTY_DISK: Started = {
  kind: 'started',
  ballot: {term: 0, votedFor: null},
  snapshot: null,
  base: {index: 0, term: 0},
  entries: [],
};

/** Creates a control daemon that has not been started. */
export function createControlHost(options: ControlHostOptions): ControlHost {
  const {process, onStep} = options;
  const disk: DiskState = {
    stored: EMPTY_DISK,
    folder: 1,
    failsNext: false,
  };
  let node = createNode(options, disk, order => handle(order));
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
  const handle = (order: ControlOrder): void =>
    perform(options, disk, order, post);
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
      node = createNode(options, disk, order => handle(order));
      version = 0;
      post(disk.stored);
    },
    loseDisk: () => {
      disk.stored = EMPTY_DISK;
      disk.folder += 1;
    },
    failSync: () => {
      disk.failsNext = true;
    },
  };
}

function readStorage(process: FakeProcess, disk: DiskState): StorageId {
  return toIdentifier(`${process.id}.folder-${disk.folder}`);
}

function createNode(
  {process, clock}: ControlHostOptions,
  disk: DiskState,
  handle: (order: ControlOrder) => void,
): ControlNode {
  const {incarnation} = process;
  return createControlNode({
    identity: createControlIdentity(process, readStorage(process, disk)),
    clock,
    perform: order => {
      // Orders of a process that has just died are not carried out.
      if (process.isAlive && process.incarnation === incarnation) {
        handle(order);
      }
    },
  });
}

function perform(
  options: ControlHostOptions,
  disk: DiskState,
  order: ControlOrder,
  post: (observation: ControlObservation) => void,
): void {
  const {process, peers, onStep} = options;
  switch (order.kind) {
    case 'persist':
      persist(options, disk, order.batch, post);
      return;
    case 'sendConsensus':
      peers.sendToControl(order.to, order.message, {
        from: readStorage(process, disk),
        to: order.storage,
      });
      return;
    case 'sendEntry':
      if (order.message.kind === 'commandReply') {
        onStep('answered', {control: process});
      }
      peers.sendToEntry(order.to, order.message);
      return;
    case 'setTimer': {
      const {timer, delayMs} = order;
      process.setTimer(timer.kind, delayMs, () =>
        post({kind: 'timerDue', timer}),
      );
      return;
    }
    case 'tell':
      return;
    case 'halt':
      process.kill();
      return;
    default:
      assertNever(order, 'perform');
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
  process.plan(SYNC_MS, () => {
    if (disk.failsNext) {
      disk.failsNext = false;
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
