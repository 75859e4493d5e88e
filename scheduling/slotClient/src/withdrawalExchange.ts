// Exchanges of withdrawals between entries, for those that missed a leave.
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {listOtherEntries, pickOtherEntries} from '@gentianshunt/entryModel';
import type {EntryMessage} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';
import type {EntryAddress} from '@gentianshunt/messages';

import type {WithdrawalView, WithdrawalWrite} from './withdrawalView.js';

/** How often an entry asks another one which endpoints left. */
export const WITHDRAWAL_EXCHANGE_MS: Milliseconds = 30_000;
/** Entries that one without knowledge of the last seconds asks. */
const REQUESTED_ENTRIES = 3;
/** Most withdrawals in one reply; the latest are reported. */
const MAX_REPORTED = 4_096;

/**
 * Asks other entries which endpoints left: several once this entry gets a lease,
 * as it has started or was cut off, and then one from time to time.
 */
export function syncWithdrawals(
  {board}: WithdrawalView,
  now: TurnTime,
): readonly WithdrawalWrite[] {
  const {withdrawalExchange: exchange, control} = board;
  const hasLease = control.leaseUntil > now.monotonic;
  const isNew = hasLease && !exchange.hadLease;
  const isDue =
    hasLease && now.monotonic - exchange.requestedAt >= WITHDRAWAL_EXCHANGE_MS;
  if (!isNew && !isDue) {
    return hasLease === exchange.hadLease
      ? []
      : [putExchange({...exchange, hadLease: hasLease})];
  }
  const asked = pickOtherEntries(board, isNew ? REQUESTED_ENTRIES : 1, now);
  return [
    putExchange({hadLease: true, requestedAt: now.monotonic}),
    ...asked.map(address => sendTo(address, {kind: 'withdrawalsRequested'})),
  ];
}

function putExchange(
  value: WithdrawalView['board']['withdrawalExchange'],
): WithdrawalWrite {
  return {kind: 'set', section: 'withdrawalExchange', value};
}

/** Reports the withdrawals that this entry knows to one that asked. */
export function sendWithdrawals(
  {board}: WithdrawalView,
  to: NodeId,
  now: TurnTime,
): readonly WithdrawalWrite[] {
  const address = listOtherEntries(board).find(({node}) => node === to);
  const withdrawals = [...board.withdrawnEndpoints]
    .sort(([, left], [, right]) => right.until - left.until)
    .slice(0, MAX_REPORTED)
    .map(([endpoint, {left, until}]) => ({
      endpoint,
      left,
      remainingMs: Math.max(0, until - now.monotonic),
    }));
  return address === undefined || withdrawals.length === 0
    ? []
    : [sendTo(address, {kind: 'withdrawalsReported', withdrawals})];
}

/** Sends a message to another entry. */
export function sendTo(
  {node: to, peer: address}: EntryAddress,
  message: EntryMessage,
): WithdrawalWrite {
  return {kind: 'effect', effect: {kind: 'sendEntry', to, address, message}};
}
