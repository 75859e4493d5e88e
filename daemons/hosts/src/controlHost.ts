import type {Clock} from '@gentianshunt/clock';
import type {
  Admission,
  ControlDecision,
  ControlObservation,
  ControlOrder,
  ControlTimer,
  HaltReason,
} from '@gentianshunt/controlModel';
import {createControlNode} from '@gentianshunt/controlNode';
import type {ControlNode} from '@gentianshunt/controlNode';
import {assertNever} from '@gentianshunt/errors';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import {openLogFile, openStorageFolder} from '@gentianshunt/logFile';
import type {LogFile} from '@gentianshunt/logFile';
import type {ControlToEntry, StorageId} from '@gentianshunt/messages';
import {
  createTimerTable,
  drawIdentifier,
  drawSeed,
} from '@gentianshunt/runtime';

import {toControlObservation} from './controlMessages.js';
import type {ConsensusEnvelope} from './controlMessages.js';

/** Characters of a storage id; unique among a handful of members. */
const STORAGE_ID_LENGTH = 10;

/** What hosts a control member. */
export interface ControlHostOptions {
  readonly node: NodeId;
  readonly members: readonly NodeId[];
  readonly admission: Admission;
  readonly dataFolder: string;
  readonly clock: Clock;
  readonly sendMember: (to: NodeId, envelope: ConsensusEnvelope) => void;
  readonly sendEntry: (to: NodeId, message: ControlToEntry) => void;
  /** Writes a decision to the log. */
  readonly tell: (decision: ControlDecision) => void;
  /** Called when the member must not go on with its folder. */
  readonly onHalted: (reason: HaltReason) => void;
  /** Called when the disk failed; nothing further is written. */
  readonly onFailed: (error: Error) => void;
}

/** A control member over its data folder. */
export interface ControlHost {
  readonly node: ControlNode;
  post(observation: ControlObservation): void;
  /** Takes a peer's message; tells whether it was meant for a member. */
  receive(from: NodeId, body: unknown): boolean;
  close(): Promise<void>;
}

/** Opens the data folder and starts the member. */
export async function createControlHost(
  options: ControlHostOptions,
): Promise<ControlHost> {
  let isClosed = false;
  const post = (observation: ControlObservation): void => {
    if (!isClosed) {
      node.post(observation);
    }
  };
  const logFile = await openLogFile({
    folder: await openStorageFolder(options.dataFolder),
    drawStorageId,
    onPersisted: sequence => post({kind: 'persisted', sequence}),
    onFailed: options.onFailed,
  });
  const timers = createTimerTable<ControlTimer>({
    onDue: timer => post({kind: 'timerDue', timer}),
  });
  const node: ControlNode = createControlNode({
    identity: {
      node: options.node,
      members: options.members,
      admission: options.admission,
      storage: logFile.storage,
      seed: drawSeed(),
    },
    clock: options.clock,
    perform: order => {
      if (!isClosed) {
        perform(options, logFile, timers.set, order);
      }
    },
  });
  post({kind: 'started', ...logFile.stored});
  return {
    node,
    post,
    receive: (from, body) => {
      const observation = toControlObservation(from, body, logFile.storage);
      if (observation === undefined) {
        return false;
      }
      post(observation);
      return true;
    },
    close: async () => {
      isClosed = true;
      timers.clear();
      await logFile.close();
    },
  };
}

/** Draws a short id, as each message of the log carries it. */
function drawStorageId(): StorageId {
  const id = drawIdentifier<StorageId>();
  return toIdentifier(id.slice(0, STORAGE_ID_LENGTH));
}

function perform(
  options: ControlHostOptions,
  logFile: LogFile,
  setTimer: (timer: ControlTimer, delayMs: number) => void,
  order: ControlOrder,
): void {
  switch (order.kind) {
    case 'persist':
      logFile.persist(order.batch);
      return;
    case 'sendConsensus':
      options.sendMember(order.to, {
        kind: 'consensus',
        sender: logFile.storage,
        receiver: order.storage,
        message: order.message,
      });
      return;
    case 'sendEntry':
      options.sendEntry(order.to, order.message);
      return;
    case 'setTimer':
      setTimer(order.timer, order.delayMs);
      return;
    case 'tell':
      options.tell(order.decision);
      return;
    case 'halt':
      options.onHalted(order.reason);
      return;
    default:
      assertNever(order, 'perform');
  }
}
