import type {View} from '@gentianshunt/board';
import type {
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';

/** The sections that the endpoint registry reads. */
export type RegistryReads =
  | 'identity'
  | 'control'
  | 'configuration'
  | 'leaderships'
  | 'announcements'
  | 'leaderChanges'
  | 'endpoints'
  | 'withdrawnEndpoints';

/** The sections that the endpoint registry writes. */
export type RegistryWrites = 'announcements' | 'leaderChanges' | 'endpoints';

/** The view of the board that the endpoint registry gets. */
export type RegistryView = View<EntrySections, RegistryReads, EntryObservation>;

/** A write of the endpoint registry. */
export type RegistryWrite = EntryWrite<RegistryWrites>;
