import type {TurnTime, View} from '@gentianshunt/board';
import {
  createDecisionWrite,
  defineControlController,
} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlDecision,
  ControlObservation,
  ControlSections,
  ReceivingSnapshot,
  SnapshotActivity,
  StoringSnapshot,
} from '@gentianshunt/controlModel';
import type {StateSnapshot} from '@gentianshunt/messages';

import {measureSnapshotBytes} from './snapshotBytes.js';
import {followSending} from './snapshotSending.js';

type SnapshotReads =
  | 'snapshot'
  | 'capturedState'
  | 'incomingSnapshot'
  | 'followerProgress'
  | 'persistSequence'
  | 'unsyncedBatches'
  | 'log'
  | 'snapshotActivity';
type SnapshotView = View<ControlSections, SnapshotReads, ControlObservation>;

/** What one step found, and the lines for the decision log. */
interface Step<State> {
  readonly state: State;
  readonly decisions: readonly ControlDecision[];
}

/**
 * Creates the controller that records the snapshots that a member stores,
 * receives and sends.
 */
export function createSnapshotController(): ControlController {
  return defineControlController<SnapshotReads, 'snapshotActivity'>({
    name: 'snapshots',
    reads: [
      'snapshot',
      'capturedState',
      'incomingSnapshot',
      'followerProgress',
      'persistSequence',
      'unsyncedBatches',
      'log',
      'snapshotActivity',
    ],
    writes: ['snapshotActivity'],
    observes: ['started'],
    run: (view, now) => {
      const before = view.board.snapshotActivity;
      const {state, decisions} = followActivity(view, before, now);
      return [
        ...(isSame(before, state)
          ? []
          : [
              {kind: 'set', section: 'snapshotActivity', value: state} as const,
            ]),
        ...decisions.map(createDecisionWrite),
      ];
    },
  });
}

function isSame(left: SnapshotActivity, right: SnapshotActivity): boolean {
  return (
    left.index === right.index &&
    left.storing === right.storing &&
    left.receiving === right.receiving &&
    left.sending === right.sending
  );
}

function followActivity(
  view: SnapshotView,
  before: SnapshotActivity,
  now: TurnTime,
): Step<SnapshotActivity> {
  const {snapshot} = view.board;
  const index = snapshot?.index ?? 0;
  const receiving = followReceiving(view, before.receiving, now);
  const installed =
    snapshot === null || index === before.index
      ? {state: before.storing, decisions: []}
      : followInstalled(view, snapshot, before.receiving, now);
  const stored = followStored(view, installed.state, now);
  const sent = followSending(view, before.sending, now);
  return {
    state: {
      index,
      receiving,
      storing: stored.state,
      sending: sent.state,
    },
    decisions: [...installed.decisions, ...stored.decisions, ...sent.decisions],
  };
}

/** Counts the chunks that have arrived of the snapshot being received. */
function followReceiving(
  view: SnapshotView,
  before: ReceivingSnapshot | null,
  now: TurnTime,
): ReceivingSnapshot | null {
  if (view.readChanges('incomingSnapshot').size === 0) {
    return before;
  }
  const incoming = view.board.incomingSnapshot;
  if (incoming === null) {
    return null;
  }
  const {index} = incoming.header;
  return before?.index === index
    ? {...before, chunks: before.chunks + 1}
    : {index, chunks: 1, startedAt: now.monotonic};
}

/** Records a new snapshot, which is written to the disk from now on. */
function followInstalled(
  {board, observation}: SnapshotView,
  snapshot: StateSnapshot,
  receiving: ReceivingSnapshot | null,
  now: TurnTime,
): Step<StoringSnapshot | null> {
  if (observation?.kind === 'started') {
    // It was read from the disk.
    return {state: null, decisions: []};
  }
  const {index, items} = snapshot;
  const isCaptured = board.capturedState?.index === index;
  const startedAt = now.monotonic;
  const storing: StoringSnapshot = {
    origin: isCaptured ? 'captured' : 'received',
    sequence: board.persistSequence,
    startedAt,
  };
  if (isCaptured) {
    return {state: storing, decisions: []};
  }
  const earlier = receiving?.index === index ? receiving : null;
  return {
    state: storing,
    decisions: [
      {
        kind: 'snapshotReceived',
        index,
        items: items.length,
        bytes: measureSnapshotBytes(snapshot),
        // The last chunk installs the snapshot.
        chunks: (earlier?.chunks ?? 0) + 1,
        durationMs: startedAt - (earlier?.startedAt ?? startedAt),
      },
    ],
  };
}

/** Records that a snapshot is on the disk. */
function followStored(
  {board}: SnapshotView,
  storing: StoringSnapshot | null,
  now: TurnTime,
): Step<StoringSnapshot | null> {
  const {snapshot, unsyncedBatches, log} = board;
  if (storing === null || snapshot === null) {
    return {state: null, decisions: []};
  }
  const oldest = unsyncedBatches.readFirst();
  if (oldest !== undefined && oldest.key <= storing.sequence) {
    return {state: storing, decisions: []};
  }
  return {
    state: null,
    decisions: [
      {
        kind: 'snapshotStored',
        origin: storing.origin,
        index: snapshot.index,
        items: snapshot.items.length,
        bytes: measureSnapshotBytes(snapshot),
        entriesKept: log.size,
        durationMs: now.monotonic - storing.startedAt,
      },
    ],
  };
}
