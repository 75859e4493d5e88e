import type {ManualClock} from '@gentianshunt/clock';
import type {
  AdmissionPolicy,
  ControlDecision,
  ControlEffect,
  HaltReason,
  LogBounds,
  PersistBatch,
} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import type {
  ConsensusMessage,
  ControlToEntry,
  StorageId,
} from '@gentianshunt/messages';

import {createControlNode} from '../src/index.js';
import type {ControlNode} from '../src/index.js';
import {applyBatch, createEmptyFolder} from './folderFixture.js';
import type {TestFolder} from './folderFixture.js';

/** A low interval, so that short tests cover snapshots. */
const CAPTURE_INTERVAL_ENTRIES = 8;

/** A message in flight between two members. */
export interface TestMessage {
  readonly from: NodeId;
  readonly to: NodeId;
  /** The sender's data folder. */
  readonly sender: StorageId;
  /** The data folder that the message is meant for; `null` is any. */
  readonly receiver: StorageId | null;
  readonly message: ConsensusMessage;
}

/** A member with a data folder in memory and manual timers. */
export interface TestMember {
  readonly node: NodeId;
  readonly loop: ControlNode | undefined;
  readonly folder: TestFolder;
  readonly replies: readonly ControlToEntry[];
  /** What the member has logged. */
  readonly decisions: readonly ControlDecision[];
  readonly haltReason: HaltReason | undefined;
  start(): void;
  /** Ends the process; unsynced data is lost. */
  crash(): void;
  /** Ends the process and replaces its data folder. */
  replaceFolder(folder?: TestFolder): void;
  /** Syncs all queued batches to the folder; a full disk ends the process. */
  sync(): void;
  /** Lets each write to the folder fail, or succeed again. */
  setDiskFull(isFull: boolean): void;
  /** Lets no sync end, or all again. */
  setDiskStalled(isStalled: boolean): void;
  /** Lists the batches that are not synced. */
  listQueued(): readonly PersistBatch[];
  /** Reads when the next timer is due, in ms; `Infinity` if none is set. */
  readNextTimer(): number;
  fireDueTimers(): void;
  receive(message: TestMessage): void;
}

/** The settings and adapters of a test member. */
export interface TestMemberOptions {
  readonly node: NodeId;
  readonly members: readonly NodeId[];
  readonly admission: AdmissionPolicy;
  readonly logBounds: LogBounds;
  readonly clock: ManualClock;
  /** Draws the seed of the election jitter of one process. */
  readonly drawSeed: () => number;
  readonly send: (message: TestMessage) => void;
}

/** Creates a member without starting it. */
export function createTestMember(options: TestMemberOptions): TestMember {
  const {node, members, admission, logBounds, clock, drawSeed, send} = options;
  const replies: ControlToEntry[] = [];
  const decisions: ControlDecision[] = [];
  const timers = new Map<string, {readonly dueAt: number; fire(): void}>();
  let queued: PersistBatch[] = [];
  let folders = 0;
  let isDiskFull = false;
  let isDiskStalled = false;
  let loop: ControlNode | undefined;
  let haltReason: HaltReason | undefined;

  const createFolder = (): TestFolder => {
    folders += 1;
    return createEmptyFolder(toIdentifier<StorageId>(`${node}-${folders}`));
  };
  let folder = createFolder();
  const crash = (): void => {
    loop = undefined;
    queued = [];
    timers.clear();
  };
  const perform = (effect: ControlEffect): void => {
    switch (effect.kind) {
      case 'persist':
        queued.push(effect.batch);
        return;
      case 'sendConsensus':
        send({
          from: node,
          to: effect.to,
          sender: folder.storage,
          receiver: effect.storage,
          message: effect.message,
        });
        return;
      case 'sendEntry':
        replies.push(effect.message);
        return;
      case 'setTimer': {
        const {timer, delayMs} = effect;
        timers.set(timer.kind, {
          dueAt: clock.readMonotonic() + delayMs,
          fire: () => loop?.post({kind: 'timerDue', timer}),
        });
        return;
      }
      case 'logDecision':
        decisions.push(effect.decision);
        return;
      case 'halt':
        haltReason = effect.reason;
        return;
      default:
        assertNever(effect, 'perform');
    }
  };

  return {
    node,
    get loop() {
      return loop;
    },
    get folder() {
      return folder;
    },
    get haltReason() {
      return haltReason;
    },
    replies,
    decisions,
    start: () => {
      haltReason = undefined;
      loop = createControlNode({
        identity: {
          node,
          bootstrapMembers: members,
          admission,
          storage: folder.storage,
          seed: drawSeed(),
          releaseApplyMs: 2_000,
          logBounds,
        },
        clock,
        capture: {intervalEntries: CAPTURE_INTERVAL_ENTRIES},
        perform,
      });
      loop.post({kind: 'started', ...folder.stored});
    },
    crash,
    replaceFolder: replacement => {
      crash();
      folder = replacement ?? createFolder();
    },
    setDiskFull: value => {
      isDiskFull = value;
    },
    setDiskStalled: value => {
      isDiskStalled = value;
    },
    listQueued: () => queued,
    sync: () => {
      if (isDiskStalled) {
        return;
      }
      if (isDiskFull && queued.length > 0) {
        crash();
        return;
      }
      const batches = queued;
      queued = [];
      for (const batch of batches) {
        folder = applyBatch(folder, batch);
        loop?.post({kind: 'persisted', sequence: batch.sequence});
      }
    },
    readNextTimer: () =>
      Math.min(...[...timers.values()].map(({dueAt}) => dueAt)),
    fireDueTimers: () => {
      for (const [kind, timer] of [...timers]) {
        if (timer.dueAt <= clock.readMonotonic()) {
          timers.delete(kind);
          timer.fire();
        }
      }
    },
    receive: ({from, sender, receiver, message}) => {
      if (receiver === null || receiver === folder.storage) {
        const observation = {kind: 'consensusMessage', from} as const;
        loop?.post({...observation, storage: sender, message});
      }
    },
  };
}
