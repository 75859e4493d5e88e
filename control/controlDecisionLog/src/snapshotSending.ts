/** Follows the snapshots that the leader sends to its followers. */
import type {TurnTime, View} from '@gentianshunt/board';
import type {
  ControlDecision,
  ControlObservation,
  ControlSections,
  FollowerProgress,
  SendingSnapshot,
  SnapshotSendOutcome,
  SnapshotTransfer,
} from '@gentianshunt/controlModel';
import type {NodeId} from '@gentianshunt/identifiers';

import {measureSnapshotBytes} from './snapshotBytes.js';

type SendingView = View<
  ControlSections,
  'followerProgress' | 'snapshot',
  ControlObservation
>;
type Sending = ReadonlyMap<NodeId, SendingSnapshot>;

/** The snapshots being sent, and the lines for those that are no longer. */
export interface SendingStep {
  readonly state: Sending;
  readonly decisions: readonly ControlDecision[];
}

/** Updates the record of the snapshots that are being sent. */
export function followSending(
  view: SendingView,
  before: Sending,
  now: TurnTime,
): SendingStep {
  const changed = [
    ...view.readChanges('followerProgress'),
  ] as readonly NodeId[];
  const isUnchanged = changed.every(
    node =>
      !before.has(node) &&
      (view.board.followerProgress.get(node)?.transfer ?? null) === null,
  );
  if (isUnchanged) {
    return {state: before, decisions: []};
  }
  const state = new Map(before);
  const decisions: ControlDecision[] = [];
  for (const node of changed) {
    const progress = view.board.followerProgress.get(node);
    const sending = before.get(node);
    const outcome = sending && findOutcome(sending, progress);
    if (sending !== undefined && outcome !== undefined) {
      decisions.push(describeEnd(node, sending, outcome, now));
      state.delete(node);
    }
    const transfer = progress?.transfer ?? null;
    if (transfer !== null) {
      state.set(node, advanceSending(state.get(node), transfer, now));
    }
  }
  return {state, decisions};
}

/** Finds how a transmission ended; `undefined` while it goes on. */
function findOutcome(
  {index}: SendingSnapshot,
  progress: FollowerProgress | undefined,
): SnapshotSendOutcome | undefined {
  if (progress === undefined) {
    return 'abandoned';
  }
  const {transfer, matchIndex} = progress;
  if (transfer === null) {
    return matchIndex >= index ? 'completed' : 'abandoned';
  }
  return transfer.snapshot.index === index ? undefined : 'replaced';
}

function describeEnd(
  node: NodeId,
  {index, bytes, chunks, startedAt}: SendingSnapshot,
  outcome: SnapshotSendOutcome,
  now: TurnTime,
): ControlDecision {
  const durationMs = now.monotonic - startedAt;
  return {
    kind: 'snapshotSent',
    node,
    index,
    outcome,
    bytes,
    chunks,
    durationMs,
  };
}

function advanceSending(
  sending: SendingSnapshot | undefined,
  {snapshot, offset}: SnapshotTransfer,
  now: TurnTime,
): SendingSnapshot {
  if (sending === undefined) {
    const {index} = snapshot;
    const bytes = measureSnapshotBytes(snapshot);
    return {index, offset, bytes, chunks: 1, startedAt: now.monotonic};
  }
  return sending.offset === offset
    ? sending
    : {...sending, offset, chunks: sending.chunks + 1};
}
