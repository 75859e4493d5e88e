import type {View} from '@gentianshunt/board';
import type {
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';

/** The sections that the endpoint order controller writes. */
export type OrderSections =
  'openEndpointOrders' | 'orderExecutions' | 'orderEpochs';

/** The sections that the endpoint order controller reads. */
export type OrderReads =
  | 'identity'
  | 'control'
  | 'configuration'
  | 'leaderships'
  | 'endpoints'
  | OrderSections;

/** The view of the board that the endpoint order controller gets. */
export type OrderView = View<EntrySections, OrderReads, EntryObservation>;

/** A write that the endpoint order controller may return. */
export type OrderWrite = EntryWrite<OrderSections>;
