import {createMapDraft} from '@gentianshunt/board';
import type {MapDraft} from '@gentianshunt/board';
import type {
  Ballot,
  ControlEffect,
  ControlWrite,
  ElectionTimer,
  FollowerProgress,
  JoinRequest,
  LogStatus,
  RememberedFolderPosition,
  Role,
} from '@gentianshunt/controlModel';
import type {NodeId} from '@gentianshunt/identifiers';
import {measureItems} from '@gentianshunt/messages';
import type {
  ConsensusMessage,
  StateSnapshot,
  StorageId,
} from '@gentianshunt/messages';

import {createCellDraft} from './cellDraft.js';
import type {CellDraft} from './cellDraft.js';
import type {ConsensusSections, ConsensusView} from './consensusView.js';
import {createDiskDraft} from './diskDraft.js';
import type {DiskDraft} from './diskDraft.js';
import {createLogDraft} from './logDraft.js';
import type {LogDraft} from './logDraft.js';

/** The node that a message goes to, and the data folder it is meant for. */
export interface Recipient {
  readonly node: NodeId;
  /** A node with another folder drops the message; `null` is any folder. */
  readonly storage: StorageId | null;
}

/**
 * The working state of one run of the consensus controller. Reads return what
 * earlier steps of the run have changed. Everything that a run stores goes to
 * the disk as one batch, and messages that depend on it are sent only after
 * the batch is synced.
 */
export interface ConsensusDraft extends Pick<CellDraft, 'read' | 'set'> {
  readonly view: ConsensusView;
  readonly ballot: Ballot;
  readonly role: Role;
  readonly status: LogStatus;
  readonly election: ElectionTimer;
  readonly log: LogDraft;
  readonly disk: DiskDraft;
  readonly progress: MapDraft<NodeId, FollowerProgress>;
  readonly rememberedPositions: MapDraft<NodeId, RememberedFolderPosition>;
  readonly joiningNodes: MapDraft<NodeId, JoinRequest>;
  setSnapshot(snapshot: StateSnapshot): void;
  /** Sends a message without waiting for the disk. */
  send(to: Recipient, message: ConsensusMessage): void;
  /** Sends a message once this run's batch and all earlier ones are synced. */
  sendAfterSync(to: Recipient, message: ConsensusMessage): void;
  addEffect(effect: ControlEffect): void;
  listWrites(): readonly ControlWrite<ConsensusSections>[];
}

/** Creates a draft over a view of the board. */
export function createConsensusDraft(view: ConsensusView): ConsensusDraft {
  const cells = createCellDraft(view);
  const log = createLogDraft(view, cells);
  const disk = createDiskDraft(view, cells, log);
  const progress = createMapDraft(view.board.followerProgress);
  const rememberedPositions = createMapDraft(view.board.rememberedPositions);
  const joiningNodes = createMapDraft(view.board.joiningNodes);
  const effects: ControlEffect[] = [];
  return {
    view,
    read: cells.read,
    set: cells.set,
    get ballot() {
      return cells.read('ballot');
    },
    get role() {
      return cells.read('role');
    },
    get status() {
      return cells.read('logStatus');
    },
    get election() {
      return cells.read('electionTimer');
    },
    log,
    disk,
    progress,
    rememberedPositions,
    joiningNodes,
    setSnapshot: snapshot => {
      cells.set('snapshot', snapshot);
      cells.set('snapshotBytes', measureItems(snapshot.items));
    },
    send: ({node, storage}, message) => {
      effects.push({kind: 'sendConsensus', to: node, storage, message});
    },
    sendAfterSync: ({node, storage}, message) => {
      disk.defer({to: node, storage, message});
    },
    addEffect: effect => {
      effects.push(effect);
    },
    listWrites: () => [
      ...effects.map(effect => ({kind: 'effect', effect}) as const),
      // The disk draft sets `persistSequence`, so the cells are listed later.
      ...disk.listWrites(),
      ...cells.listWrites(),
      ...log.listWrites(),
      ...progress.listWrites('followerProgress' as const),
      ...rememberedPositions.listWrites('rememberedPositions' as const),
      ...joiningNodes.listWrites('joiningNodes' as const),
    ],
  };
}
