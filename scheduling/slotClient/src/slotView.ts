import type {View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {
  EntryObservation,
  EntrySections,
  EntryWrite,
  Slot,
  SlotKey,
} from '@gentianshunt/entryModel';

/** How long a request may use the capacity that it was matched to unasked. */
export const UNGRANTED_LIFETIME_MS: Milliseconds = 500;

/** The board sections that the slot controller reads. */
export const SLOT_READS = [
  'configuration',
  'requests',
  'waiting',
  'queues',
  'slots',
  'matches',
  'patience',
  'decodeRates',
  'acceptedReply',
  'openCapacities',
  'endpointHealth',
  'reach',
  'identity',
  'control',
  'knownEndpoints',
  'running',
  'withdrawnEndpoints',
  'leaveCatchUp',
  'processActivity',
  'pausedEndpoints',
  'namedLimits',
  'ungrantedUse',
  'demandReporting',
  'usedSlots',
  'setDemands',
] as const;
export type SlotReads = (typeof SLOT_READS)[number];

/** The board sections that the slot controller writes. */
export const SLOT_WRITES = [
  'slots',
  'matches',
  'usedSlots',
  'ungrantedUse',
] as const;
export type SlotWrites = (typeof SLOT_WRITES)[number];

/** A slot with its key on the board. */
export interface KeyedSlot {
  readonly key: SlotKey;
  readonly slot: Slot;
  /** Whether it goes back to the leader after its next request. */
  readonly isReturning?: boolean;
}

/** The board as the slot controller sees it. */
export type SlotView = View<EntrySections, SlotReads, EntryObservation>;
export type SlotWrite = EntryWrite<SlotWrites>;
