/** Keeps what is known of leaves on the disk of the VM, if it has one. */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {ReportedLeave} from '@gentianshunt/entryModel';

import type {WithdrawalDraft} from './withdrawalDraft.js';
import type {WithdrawalView} from './withdrawalView.js';

/** Shortest time between two writes. */
const STORE_INTERVAL_MS: Milliseconds = 100;

/**
 * Stores the leaves if there is news of them. A leave is acknowledged once another
 * entry knows it; on a disk it outlives the loss of all processes.
 */
export function storeLeaves(
  {board}: WithdrawalView,
  draft: WithdrawalDraft,
  now: TurnTime,
): void {
  const {identity, leaveLog, leaveRecords, storedLeaves} = board;
  const isDue = now.monotonic - storedLeaves.at >= STORE_INTERVAL_MS;
  const hasNews = leaveLog.version !== storedLeaves.version;
  if (identity.hasDisk !== true || !isDue || !hasNews) {
    return;
  }
  const leaves = [...leaveRecords].map(
    ([endpoint, {state, incarnation, until}]): ReportedLeave => ({
      endpoint,
      state,
      incarnation,
      remainingMs: Math.max(0, until - now.monotonic),
    }),
  );
  const {version} = leaveLog;
  draft.add(
    {
      kind: 'set',
      section: 'storedLeaves',
      value: {version, at: now.monotonic},
    },
    {kind: 'effect', effect: {kind: 'storeLeaves', leaves}},
  );
}

/** Learns the leaves that an earlier process of this VM stored. */
export function learnStoredLeaves(
  {board}: WithdrawalView,
  draft: WithdrawalDraft,
  leaves: readonly ReportedLeave[],
): void {
  const learntFrom = board.identity.address.node;
  for (const leave of leaves) {
    draft.learn({...leave, source: 'disk', learntFrom, readFrom: null});
  }
}
