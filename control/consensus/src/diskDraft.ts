import type {
  Ballot,
  ControlWrite,
  HeldBatch,
  HeldMessage,
  PersistBatch,
} from '@gentianshunt/controlModel';
import type {LogIndex} from '@gentianshunt/messages';

import type {CellDraft} from './cellDraft.js';
import type {ConsensusView} from './consensusView.js';
import type {LogDraft} from './logDraft.js';

type DiskWrite = ControlWrite<'held'>;

/** What one run stores, and the messages that wait for it. */
export interface DiskDraft {
  /** Tells that a ballot is on the disk already. */
  noteStored(ballot: Ballot): void;
  /** Stores the snapshot and the log in place of all that is stored. */
  compact(): void;
  hold(message: HeldMessage): void;
  /** Sends what waited for a batch and all before it; returns them. */
  release(sequence: number): readonly HeldBatch[];
  listWrites(): readonly DiskWrite[];
}

/** Creates a draft of what goes to the disk as one batch. */
export function createDiskDraft(
  view: ConsensusView,
  cells: CellDraft,
  log: LogDraft,
): DiskDraft {
  const held: HeldMessage[] = [];
  const released: DiskWrite[] = [];
  let storedBallot = view.board.ballot;
  let isCompacted = false;

  const listBatchWrites = (): readonly DiskWrite[] => {
    const sequence = view.board.persistSequence + 1;
    const batch = isCompacted
      ? createCompaction(sequence, cells, log)
      : createAppend(sequence, storedBallot, cells, log);
    if (batch === undefined && (held.length === 0 || isIdle(view, released))) {
      return held.map(createSend);
    }
    cells.set('persistSequence', sequence);
    const {lastIndex} = cells.read('logStatus');
    return [
      {
        kind: 'put',
        section: 'held',
        key: sequence,
        value: {messages: held, lastIndex},
      },
      {
        kind: 'order',
        order: {kind: 'persist', batch: batch ?? createEmpty(sequence)},
      },
    ];
  };

  return {
    noteStored: ballot => {
      storedBallot = ballot;
    },
    compact: () => {
      isCompacted = true;
    },
    hold: message => {
      held.push(message);
    },
    release: sequence => {
      const batches: HeldBatch[] = [];
      for (const {key, value} of view.board.held.iterateFrom()) {
        if (key > sequence) {
          break;
        }
        batches.push(value);
        released.push({kind: 'delete', section: 'held', key});
        released.push(...value.messages.map(createSend));
      }
      return batches;
    },
    listWrites: () => {
      const truncation = log.readTruncation();
      const lowered =
        truncation === null ? [] : listLoweredBatches(view, truncation - 1);
      return [...released, ...lowered, ...listBatchWrites()];
    },
  };
}

function createSend({to, storage, message}: HeldMessage): DiskWrite {
  return {kind: 'order', order: {kind: 'sendConsensus', to, storage, message}};
}

/** Tells whether no batch is on its way to the disk. */
function isIdle(view: ConsensusView, released: readonly DiskWrite[]): boolean {
  return view.board.held.size === 0 && released.length === 0;
}

function createEmpty(sequence: number): PersistBatch {
  return {
    kind: 'append',
    sequence,
    ballot: null,
    truncateFrom: null,
    entries: [],
  };
}

function createAppend(
  sequence: number,
  storedBallot: Ballot,
  cells: CellDraft,
  log: LogDraft,
): PersistBatch | undefined {
  const ballot = cells.read('ballot');
  const isBallotChanged = ballot !== storedBallot;
  const truncateFrom = log.readTruncation();
  const entries = log.listAppended();
  if (!isBallotChanged && truncateFrom === null && entries.length === 0) {
    return undefined;
  }
  return {
    kind: 'append',
    sequence,
    ballot: isBallotChanged ? ballot : null,
    truncateFrom,
    entries,
  };
}

function createCompaction(
  sequence: number,
  cells: CellDraft,
  log: LogDraft,
): PersistBatch {
  const {base, lastIndex} = cells.read('logStatus');
  return {
    kind: 'compact',
    sequence,
    ballot: cells.read('ballot'),
    snapshot: cells.read('snapshot')!,
    base,
    entries: log.listEntries(base.index + 1, lastIndex - base.index),
  };
}

/** Batches under way no longer vouch for entries that were removed. */
function listLoweredBatches(
  view: ConsensusView,
  lastIndex: LogIndex,
): readonly DiskWrite[] {
  return [...view.board.held.iterateFrom()]
    .filter(({value}) => value.lastIndex > lastIndex)
    .map(({key, value}) => ({
      kind: 'put',
      section: 'held',
      key,
      value: {...value, lastIndex},
    }));
}
