/** What the grant controller reads and writes. */
import type {View} from '@gentianshunt/board';
import type {
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';

/** The sections that the grant controller reads. */
export const GRANT_READS = [
  'identity',
  'control',
  'configuration',
  'leaderships',
  'endpoints',
  'inheritedEndpoints',
  'withdrawnEndpoints',
  'dispatchRates',
  'demandReports',
  'allocationRounds',
  'slotOccupancies',
  'grantHolds',
  'grantsSinceReport',
  'fairShares',
  'limitBuckets',
  'knownLimits',
  'endpointBuckets',
  'shedding',
] as const;

/** The sections that the grant controller writes. */
export const GRANT_WRITES = [
  'allocationRounds',
  'slotOccupancies',
  'grantHolds',
  'grantsSinceReport',
  'fairShares',
  'limitBuckets',
  'endpointBuckets',
  'shedding',
] as const;

export type GrantReads = (typeof GRANT_READS)[number];
export type GrantWrites = (typeof GRANT_WRITES)[number];
/** The board as the grant controller reads it. */
export type GrantView = View<EntrySections, GrantReads, EntryObservation>;
/** A write of the grant controller. */
export type GrantWrite = EntryWrite<GrantWrites>;
