import type {View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {
  EntryMessage,
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';
import type {EndpointId} from '@gentianshunt/identifiers';
import type {EntryAddress} from '@gentianshunt/messages';

/** Time after which unanswered questions are asked again. */
export const EXCHANGE_RETRY_MS: Milliseconds = 100;

/** The board sections that the withdrawal controller writes. */
export const WITHDRAWAL_WRITES = [
  'withdrawnEndpoints',
  'leaveRecords',
  'leaveLog',
  'storedLeaves',
  'leavePositions',
  'leaveExchange',
  'leaveCatchUp',
  'unconfirmedLeaves',
  'processActivity',
] as const;
export type WithdrawalWrites = (typeof WITHDRAWAL_WRITES)[number];

/** The board sections that the withdrawal controller reads. */
export const WITHDRAWAL_READS = [
  ...WITHDRAWAL_WRITES,
  'identity',
  'control',
  'announcements',
  'endpoints',
  'configuration',
] as const;
export type WithdrawalReads = (typeof WITHDRAWAL_READS)[number];

/** The board as the withdrawal controller sees it. */
export type WithdrawalView = View<
  EntrySections,
  WithdrawalReads,
  EntryObservation
>;
export type WithdrawalWrite = EntryWrite<WithdrawalWrites>;

/** Sends a message to another entry. */
export function sendTo(
  {node: to, peer: address}: EntryAddress,
  message: EntryMessage,
): WithdrawalWrite {
  return {kind: 'effect', effect: {kind: 'sendEntry', to, address, message}};
}

/** Creates the timer after which unanswered questions are asked again. */
export function createExchangeTimer(): WithdrawalWrite {
  return {
    kind: 'effect',
    effect: {
      kind: 'setTimer',
      timer: {kind: 'withdrawalExchange'},
      delayMs: EXCHANGE_RETRY_MS,
    },
  };
}

/** Answers an endpoint that waits for the acknowledgement of its leave. */
export function createLeaveAnswer(
  endpoint: EndpointId,
  isConfirmed: boolean,
): WithdrawalWrite {
  return {
    kind: 'effect',
    effect: {kind: 'settleLeave', endpoint, isConfirmed},
  };
}
