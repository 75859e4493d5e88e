import type {ManualClock} from '@gentianshunt/clock';
import type {
  Admission,
  ControlOrder,
  HaltReason,
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

/** Snapshots come early, so that short tests cover them. */
const CAPTURE_INTERVAL_ENTRIES = 8;

/** A message on its way between two members. */
export interface TestMessage {
  readonly from: NodeId;
  readonly to: NodeId;
  readonly sender: StorageId;
  readonly receiver: StorageId | null;
  readonly message: ConsensusMessage;
}

/** A member over a fake folder, with its timers and its mail. */
export interface TestMember {
  readonly node: NodeId;
  readonly loop: ControlNode | undefined;
  readonly folder: TestFolder;
  readonly replies: readonly ControlToEntry[];
  readonly haltReason: HaltReason | undefined;
  start(): void;
  /** Ends the process; what was not synced is lost. */
  crash(): void;
  /** Puts another folder in place while the process is down. */
  replaceFolder(folder?: TestFolder): void;
  /** Brings all queued batches to the disk. */
  sync(): void;
  fireDueTimers(): void;
  receive(message: TestMessage): void;
}

/** What a test member needs. */
export interface TestMemberOptions {
  readonly node: NodeId;
  readonly members: readonly NodeId[];
  readonly admission: Admission;
  readonly clock: ManualClock;
  readonly send: (message: TestMessage) => void;
}

/** Creates a member that is not started yet. */
export function createTestMember(options: TestMemberOptions): TestMember {
  const {node, members, admission, clock, send} = options;
  const replies: ControlToEntry[] = [];
  const timers = new Map<string, {readonly dueAt: number; fire(): void}>();
  let queued: PersistBatch[] = [];
  let folders = 0;
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
  const perform = (order: ControlOrder): void => {
    switch (order.kind) {
      case 'persist':
        queued.push(order.batch);
        return;
      case 'sendConsensus':
        send({
          from: node,
          to: order.to,
          sender: folder.storage,
          receiver: order.storage,
          message: order.message,
        });
        return;
      case 'sendEntry':
        replies.push(order.message);
        return;
      case 'setTimer': {
        const {timer, delayMs} = order;
        timers.set(timer.kind, {
          dueAt: clock.readMonotonic() + delayMs,
          fire: () => loop?.post({kind: 'timerDue', timer}),
        });
        return;
      }
      case 'tell':
        return;
      case 'halt':
        haltReason = order.reason;
        return;
      default:
        assertNever(order, 'perform');
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
    start: () => {
      haltReason = undefined;
      loop = createControlNode({
        identity: {
          node,
          members,
          admission,
          storage: folder.storage,
          seed: members.indexOf(node) + 1,
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
    sync: () => {
      const batches = queued;
      queued = [];
      for (const batch of batches) {
        folder = applyBatch(folder, batch);
        loop?.post({kind: 'persisted', sequence: batch.sequence});
      }
    },
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
