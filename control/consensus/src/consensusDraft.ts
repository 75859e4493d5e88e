import {createMapDraft} from '@gentianshunt/board';
import type {MapDraft} from '@gentianshunt/board';
import type {
  Ballot,
  ControlOrder,
  ControlWrite,
  ElectionTimer,
  FollowerProgress,
  FolderWitness,
  LogStatus,
  Role,
} from '@gentianshunt/controlModel';
import type {NodeId} from '@gentianshunt/identifiers';
import type {ConsensusMessage, StorageId} from '@gentianshunt/messages';

import {createCellDraft} from './cellDraft.js';
import type {CellDraft} from './cellDraft.js';
import type {ConsensusSections, ConsensusView} from './consensusView.js';
import {createDiskDraft} from './diskDraft.js';
import type {DiskDraft} from './diskDraft.js';
import {createLogDraft} from './logDraft.js';
import type {LogDraft} from './logDraft.js';

/** Who gets a message, and which of its folders alone may take it. */
export interface Recipient {
  readonly node: NodeId;
  /** `null` lets any folder take it. */
  readonly storage: StorageId | null;
}

/**
 * The state of one run: reads see what earlier steps of the run changed.
 * Everything to be stored in a run goes to the disk as one batch, and the
 * messages that acknowledge it are held until the batch is synced.
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
  readonly witnesses: MapDraft<NodeId, FolderWitness>;
  readonly applicants: MapDraft<NodeId, StorageId>;
  /** Sends at once. */
  send(to: Recipient, message: ConsensusMessage): void;
  /** Sends once everything drafted so far is synced. */
  sendAfterSync(to: Recipient, message: ConsensusMessage): void;
  order(order: ControlOrder): void;
  listWrites(): readonly ControlWrite<ConsensusSections>[];
}

/** Creates a draft over a view of the board. */
export function createConsensusDraft(view: ConsensusView): ConsensusDraft {
  const cells = createCellDraft(view);
  const log = createLogDraft(view, cells);
  const disk = createDiskDraft(view, cells, log);
  const progress = createMapDraft(view.board.progress);
  const witnesses = createMapDraft(view.board.witnesses);
  const applicants = createMapDraft(view.board.applicants);
  const orders: ControlOrder[] = [];
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
      return cells.read('election');
    },
    log,
    disk,
    progress,
    witnesses,
    applicants,
    send: ({node, storage}, message) => {
      orders.push({kind: 'sendConsensus', to: node, storage, message});
    },
    sendAfterSync: ({node, storage}, message) => {
      disk.hold({to: node, storage, message});
    },
    order: order => {
      orders.push(order);
    },
    listWrites: () => [
      ...orders.map(order => ({kind: 'order', order}) as const),
      // The disk's batch takes a number from a cell, so the cells come last.
      ...disk.listWrites(),
      ...cells.listWrites(),
      ...log.listWrites(),
      ...progress.listWrites('progress' as const),
      ...witnesses.listWrites('witnesses' as const),
      ...applicants.listWrites('applicants' as const),
    ],
  };
}
