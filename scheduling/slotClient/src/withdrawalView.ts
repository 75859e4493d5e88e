import type {View} from '@gentianshunt/board';
import type {
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';

/** The sections that the withdrawal controller reads. */
export const WITHDRAWAL_READS = [
  'identity',
  'control',
  'configuration',
  'announcements',
  'endpoints',
  'withdrawnEndpoints',
  'withdrawalExchange',
] as const;
/** The names of the sections that the withdrawal controller reads. */
export type WithdrawalReads = (typeof WITHDRAWAL_READS)[number];
/** The sections that the withdrawal controller writes. */
export type WithdrawalSections = 'withdrawnEndpoints' | 'withdrawalExchange';
/** The board as the withdrawal controller sees it. */
export type WithdrawalView = View<
  EntrySections,
  WithdrawalReads,
  EntryObservation
>;
/** A write of the withdrawal controller. */
export type WithdrawalWrite = EntryWrite<WithdrawalSections>;
