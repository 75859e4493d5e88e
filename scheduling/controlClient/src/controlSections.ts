// The sections that the control controller reads and writes.
import type {View} from '@gentianshunt/board';
import type {
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';

/** The sections that the control controller reads. */
export type ControlReads =
  | 'identity'
  | 'service'
  | 'control'
  | 'controlNodes'
  | 'configuration'
  | 'leaderships'
  | 'endpoints'
  | 'reach';
/** The sections that the control controller writes. */
export type ControlWrites = 'control' | 'controlNodes' | 'configuration';
/** The part of the board that the control controller reads. */
export type ControlView = View<EntrySections, ControlReads, EntryObservation>;
/** A write of the control controller. */
export type ControlWrite = EntryWrite<ControlWrites>;
