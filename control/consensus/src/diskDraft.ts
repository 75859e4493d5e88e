import type {
  Ballot,
  ControlWrite,
  DeferredMessage,
  PersistBatch,
  UnsyncedBatch,
} from '@gentianshunt/controlModel';
import type {LogIndex} from '@gentianshunt/messages';

import type {CellDraft} from './cellDraft.js';
import type {ConsensusView} from './consensusView.js';
import type {LogDraft} from './logDraft.js';

type DiskWrite = ControlWrite<'unsyncedBatches'>;

/** What one run stores on disk, and the messages that wait for the sync. */
export interface DiskDraft {
  /** Sets the ballot that is on disk already. */
  setStoredBallot(ballot: Ballot): void;
  /** Replaces everything that is stored by the snapshot and the log. */
  compact(): void;
  /** Sends a message once this run's batch and all earlier ones are synced. */
  defer(message: DeferredMessage): void;
  /**
   * Sends the messages that waited for a batch or an earlier one. Returns
   * these batches.
   */
  releaseThrough(sequence: number): readonly UnsyncedBatch[];
  listWrites(): readonly DiskWrite[];
}

/** Creates a draft of the batch that one run stores. */
export function createDiskDraft(
  view: ConsensusView,
  cells: CellDraft,
  log: LogDraft,
): DiskDraft {
  const deferred: DeferredMessage[] = [];
  const released: DiskWrite[] = [];
  let storedBallot = view.board.ballot;
  let isCompacted = false;

  const listBatchWrites = (): readonly DiskWrite[] => {
    const sequence = view.board.persistSequence + 1;
    const batch = isCompacted
      ? createCompactBatch(sequence, cells, log)
      : createAppendBatch(sequence, storedBallot, cells, log);
    if (
      batch === undefined &&
      (deferred.length === 0 || isDiskIdle(view, released))
    ) {
      return deferred.map(createSend);
    }
    const stored = batch ?? createEmptyBatch(sequence);
    cells.set('persistSequence', sequence);
    const {lastIndex} = cells.read('logStatus');
    return [
      {
        kind: 'put',
        section: 'unsyncedBatches',
        key: sequence,
        value: {kind: stored.kind, messages: deferred, lastIndex},
      },
      {kind: 'effect', effect: {kind: 'persist', batch: stored}},
    ];
  };

  return {
    setStoredBallot: ballot => {
      storedBallot = ballot;
    },
    compact: () => {
      isCompacted = true;
    },
    defer: message => {
      deferred.push(message);
    },
    releaseThrough: sequence => {
      const batches: UnsyncedBatch[] = [];
      for (const {key, value} of view.board.unsyncedBatches.iterateFrom()) {
        if (key > sequence) {
          break;
        }
        batches.push(value);
        released.push({kind: 'delete', section: 'unsyncedBatches', key});
        released.push(...value.messages.map(createSend));
      }
      return batches;
    },
    listWrites: () => {
      const truncation = log.readTruncation();
      const truncatedBatches =
        truncation === null ? [] : listTruncatedBatches(view, truncation - 1);
      return [...released, ...truncatedBatches, ...listBatchWrites()];
    },
  };
}

function createSend({to, storage, message}: DeferredMessage): DiskWrite {
  return {
    kind: 'effect',
    effect: {kind: 'sendConsensus', to, storage, message},
  };
}

/** Returns whether no earlier batch still waits for its sync. */
function isDiskIdle(
  view: ConsensusView,
  released: readonly DiskWrite[],
): boolean {
  return view.board.unsyncedBatches.size === 0 && released.length === 0;
}

function createEmptyBatch(sequence: number): PersistBatch {
  return {
    kind: 'append',
    sequence,
    ballot: null,
    truncateFrom: null,
    entries: [],
  };
}

function createAppendBatch(
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

function createCompactBatch(
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

/** Lowers the last index of unsynced batches whose entries were removed. */
function listTruncatedBatches(
  view: ConsensusView,
  lastIndex: LogIndex,
): readonly DiskWrite[] {
  return [...view.board.unsyncedBatches.iterateFrom()]
    .filter(({value}) => value.lastIndex > lastIndex)
    .map(({key, value}) => ({
      kind: 'put',
      section: 'unsyncedBatches',
      key,
      value: {...value, lastIndex},
    }));
}
