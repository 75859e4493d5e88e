import type {View} from '@gentianshunt/board';
import type {
  Ballot,
  ControlObservation,
  ControlOrder,
  ControlSections,
  ControlWrite,
  ElectionTimer,
  FollowerProgress,
  HeldBatch,
  HeldMessage,
  LogStatus,
  Role,
} from '@gentianshunt/controlModel';
import type {
  ConsensusMessage,
  LogEntry,
  LogIndex,
} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

/** The sections that the consensus controller writes. */
export type ConsensusSections =
  | 'ballot'
  | 'role'
  | 'log'
  | 'logStatus'
  | 'progress'
  | 'election'
  | 'persistSequence'
  | 'held';

/** The sections that the consensus controller reads. */
export type ConsensusReads = ConsensusSections | 'identity' | 'proposals';

/** What the consensus controller sees. */
export type ConsensusView = View<
  ControlSections,
  ConsensusReads,
  ControlObservation
>;

/**
 * The state of one run: reads see what earlier steps of the run changed.
 * Everything to be stored in a run goes to the disk as one batch, and the
 * messages that acknowledge it are held until the batch is synced.
 */
export interface ConsensusDraft {
  readonly view: ConsensusView;
  readonly ballot: Ballot;
  readonly role: Role;
  readonly status: LogStatus;
  readonly election: ElectionTimer;
  /** Takes up a stored ballot and log without storing them again. */
  restore(ballot: Ballot, entries: readonly LogEntry[]): void;
  setBallot(ballot: Ballot): void;
  setRole(role: Role): void;
  setStatus(status: LogStatus): void;
  setElection(election: ElectionTimer): void;
  readEntry(index: LogIndex): LogEntry | undefined;
  readProgress(node: NodeId): FollowerProgress | undefined;
  setProgress(node: NodeId, progress: FollowerProgress): void;
  /** Appends entries after removing those from `truncateFrom` on. */
  append(entries: readonly LogEntry[], truncateFrom: LogIndex | null): void;
  /** Sends at once. */
  send(to: NodeId, message: ConsensusMessage): void;
  /** Sends once everything drafted so far is synced. */
  sendAfterSync(to: NodeId, message: ConsensusMessage): void;
  order(order: ControlOrder): void;
  /** Sends what waited for a batch and all before it; returns them. */
  release(sequence: number): readonly HeldBatch[];
  listWrites(): readonly ControlWrite<ConsensusSections>[];
}

/** Creates a draft over a view of the board. */
export function createConsensusDraft(view: ConsensusView): ConsensusDraft {
  const {board} = view;
  const writes: ControlWrite<ConsensusSections>[] = [];
  const held: HeldMessage[] = [];
  const entries = new Map<LogIndex, LogEntry>();
  const progress = new Map<NodeId, FollowerProgress>();
  let ballot = board.ballot;
  let role = board.role;
  let status = board.logStatus;
  let election = board.election;
  let truncateFrom: LogIndex | null = null;
  let isDirty = false;

  const listPersistWrites = (): readonly ControlWrite<ConsensusSections>[] => {
    if (!isDirty && held.length === 0) {
      return [];
    }
    const sequence = board.persistSequence + 1;
    return [
      {kind: 'set', section: 'persistSequence', value: sequence},
      {
        kind: 'put',
        section: 'held',
        key: sequence,
        value: {messages: held, lastIndex: status.lastIndex},
      },
      {
        kind: 'order',
        order: {
          kind: 'persist',
          batch: {
            sequence,
            ballot: ballot === board.ballot ? null : ballot,
            truncateFrom,
            entries: [...entries.values()],
          },
        },
      },
    ];
  };

  return {
    view,
    get ballot() {
      return ballot;
    },
    get role() {
      return role;
    },
    get status() {
      return status;
    },
    get election() {
      return election;
    },
    restore: (storedBallot, storedEntries) => {
      ballot = storedBallot;
      writes.push({kind: 'set', section: 'ballot', value: storedBallot});
      for (const value of storedEntries) {
        writes.push({kind: 'put', section: 'log', key: value.index, value});
      }
      const last = storedEntries[storedEntries.length - 1];
      const lastIndex = last?.index ?? 0;
      status = {
        lastIndex,
        lastTerm: last?.term ?? 0,
        syncedIndex: lastIndex,
        commitIndex: 0,
      };
      writes.push({kind: 'set', section: 'logStatus', value: status});
    },
    setBallot: value => {
      ballot = value;
      isDirty = true;
      writes.push({kind: 'set', section: 'ballot', value});
    },
    setRole: value => {
      role = value;
      writes.push({kind: 'set', section: 'role', value});
    },
    setStatus: value => {
      status = value;
      writes.push({kind: 'set', section: 'logStatus', value});
    },
    setElection: value => {
      election = value;
      writes.push({kind: 'set', section: 'election', value});
    },
    readEntry: index =>
      index > status.lastIndex
        ? undefined
        : (entries.get(index) ?? board.log.get(index)),
    readProgress: node => progress.get(node) ?? board.progress.get(node),
    setProgress: (node, value) => {
      progress.set(node, value);
      writes.push({kind: 'put', section: 'progress', key: node, value});
    },
    append: (added, from) => {
      if (from !== null) {
        truncateFrom =
          truncateFrom === null ? from : Math.min(from, truncateFrom);
        for (let index = from; index <= status.lastIndex; index += 1) {
          entries.delete(index);
          writes.push({kind: 'delete', section: 'log', key: index});
        }
        writes.push(...listLoweredBatches(view, from - 1));
      }
      for (const entry of added) {
        entries.set(entry.index, entry);
        const key = entry.index;
        writes.push({kind: 'put', section: 'log', key, value: entry});
      }
      isDirty = true;
    },
    send: (to, message) => {
      writes.push({kind: 'order', order: {kind: 'sendConsensus', to, message}});
    },
    sendAfterSync: (to, message) => {
      held.push({to, message});
    },
    order: order => {
      writes.push({kind: 'order', order});
    },
    release: sequence => {
      const released: HeldBatch[] = [];
      for (const {key, value} of board.held.iterateFrom()) {
        if (key > sequence) {
          break;
        }
        released.push(value);
        writes.push({kind: 'delete', section: 'held', key});
        for (const {to, message} of value.messages) {
          writes.push({
            kind: 'order',
            order: {kind: 'sendConsensus', to, message},
          });
        }
      }
      return released;
    },
    listWrites: () => [...writes, ...listPersistWrites()],
  };
}

/** Batches under way no longer vouch for entries that were removed. */
function listLoweredBatches(
  view: ConsensusView,
  lastIndex: LogIndex,
): readonly ControlWrite<'held'>[] {
  return [...view.board.held.iterateFrom()]
    .filter(({value}) => value.lastIndex > lastIndex)
    .map(({key, value}) => ({
      kind: 'put',
      section: 'held',
      key,
      value: {...value, lastIndex},
    }));
}
