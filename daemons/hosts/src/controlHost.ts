import type {Clock, Milliseconds} from '@gentianshunt/clock';
import {planLogBounds} from '@gentianshunt/controlModel';
import type {
  AdmissionPolicy,
  ControlDecision,
  ControlEffect,
  ControlObservation,
  ControlTimer,
  HaltReason,
  LogResources,
} from '@gentianshunt/controlModel';
import {createControlNode} from '@gentianshunt/controlNode';
import type {ControlNode} from '@gentianshunt/controlNode';
import {assertNever} from '@gentianshunt/errors';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import {openLogFile, openStorageFolder} from '@gentianshunt/logFile';
import type {LogFile, StorageFolder} from '@gentianshunt/logFile';
import type {FolderRead} from '@gentianshunt/logging';
import type {ControlToEntry, StorageId} from '@gentianshunt/messages';
import {
  createTimerTable,
  drawIdentifier,
  drawSeed,
} from '@gentianshunt/runtime';

import {EffectFailedError} from './effectFailedError.js';
import {toControlObservation} from './controlMessages.js';
import type {ConsensusEnvelope} from './controlMessages.js';
import {createMeteredFolder} from './meteredFolder.js';

/** Characters of a storage id; enough to be unique in a group of members. */
const STORAGE_ID_LENGTH = 10;

/** Options for running a control member. */
export interface ControlHostOptions {
  readonly node: NodeId;
  readonly members: readonly NodeId[];
  readonly admission: AdmissionPolicy;
  readonly releaseApplyMs: Milliseconds;
  readonly dataFolder: string;
  /** What the member may use of the VM; bounds the bytes of its log. */
  readonly resources: LogResources;
  /** Opens the data folder; that of the file system by default. */
  readonly openFolder?: (path: string) => Promise<StorageFolder>;
  readonly clock: Clock;
  readonly sendToMember: (to: NodeId, envelope: ConsensusEnvelope) => void;
  readonly sendToEntry: (to: NodeId, message: ControlToEntry) => void;
  /** Writes a decision to the daemon's log output. */
  readonly logDecision: (decision: ControlDecision) => void;
  /** Called once the data folder has been read. */
  readonly onFolderRead?: (read: FolderRead) => void;
  /** Called when the member must stop using its data folder. */
  readonly onHalted: (reason: HaltReason) => void;
  /** Called when a write or sync failed; nothing further is written. */
  readonly onFailed: (error: Error) => void;
  /**
   * Called when a controller failed. The member has stopped: what it knows may
   * differ from what it has written, and it must be opened again.
   */
  readonly onFault: (error: Error) => void;
  /** Called when a message could not be sent; the other effects go on. */
  readonly onEffectFailed: (error: EffectFailedError) => void;
}

/** A running control member and its data folder. */
export interface ControlHost {
  readonly node: ControlNode;
  post(observation: ControlObservation): void;
  /** Handles a peer's message; returns whether it was meant for a member. */
  receive(from: NodeId, body: unknown): boolean;
  close(): Promise<void>;
}

/** Opens the data folder and starts the member. */
export async function createControlHost(
  options: ControlHostOptions,
): Promise<ControlHost> {
  let isClosed = false;
  const post = (observation: ControlObservation): void => {
    if (isClosed) {
      return;
    }
    try {
      node.post(observation);
    } catch (error) {
      isClosed = true;
      timers.clear();
      options.onFault(error as Error);
    }
  };
  const logFile = await readLogFile(options, sequence =>
    post({kind: 'persisted', sequence}),
  );
  const timers = createTimerTable<ControlTimer>({
    onDue: timer => post({kind: 'timerDue', timer}),
  });
  const node: ControlNode = createControlNode({
    identity: {
      node: options.node,
      bootstrapMembers: options.members,
      admission: options.admission,
      storage: logFile.storage,
      seed: drawSeed(),
      releaseApplyMs: options.releaseApplyMs,
      logBounds: planLogBounds(options.resources),
    },
    clock: options.clock,
    perform: effect => {
      if (!isClosed) {
        guardSend(options, effect, () =>
          performEffect(options, logFile, timers.set, effect),
        );
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

/** Opens the log in the data folder, and reports what was read. */
async function readLogFile(
  options: ControlHostOptions,
  onPersisted: (sequence: number) => void,
): Promise<LogFile> {
  const {clock, dataFolder, onFailed, onFolderRead} = options;
  const startedAt = clock.readMonotonic();
  const {folder, measure} = createMeteredFolder(
    await (options.openFolder ?? openStorageFolder)(dataFolder),
  );
  const logFile = await openLogFile({
    folder,
    drawStorageId,
    onPersisted,
    onFailed,
  });
  onFolderRead?.({
    ...measure(),
    entries: logFile.stored.entries.length,
    durationMs: clock.readMonotonic() - startedAt,
  });
  return logFile;
}

/** Draws a short id, because every consensus message carries it. */
function drawStorageId(): StorageId {
  const id = drawIdentifier<StorageId>();
  return toIdentifier(id.slice(0, STORAGE_ID_LENGTH));
}

/** Reports that a message could not be sent; any other error is thrown. */
function guardSend(
  {onEffectFailed}: ControlHostOptions,
  effect: ControlEffect,
  run: () => void,
): void {
  try {
    run();
  } catch (error) {
    if (effect.kind !== 'sendConsensus' && effect.kind !== 'sendEntry') {
      throw error;
    }
    onEffectFailed(new EffectFailedError(effect.kind, effect.to, error));
  }
}

function performEffect(
  options: ControlHostOptions,
  logFile: LogFile,
  setTimer: (timer: ControlTimer, delayMs: number) => void,
  effect: ControlEffect,
): void {
  switch (effect.kind) {
    case 'persist':
      logFile.persist(effect.batch);
      return;
    case 'sendConsensus':
      options.sendToMember(effect.to, {
        kind: 'consensus',
        sender: logFile.storage,
        receiver: effect.storage,
        message: effect.message,
      });
      return;
    case 'sendEntry':
      options.sendToEntry(effect.to, effect.message);
      return;
    case 'setTimer':
      setTimer(effect.timer, effect.delayMs);
      return;
    case 'logDecision':
      options.logDecision(effect.decision);
      return;
    case 'halt':
      options.onHalted(effect.reason);
      return;
    default:
      assertNever(effect, 'performEffect');
  }
}
