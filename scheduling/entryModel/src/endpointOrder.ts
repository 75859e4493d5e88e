import type {Lease, MonotonicTime} from '@gentianshunt/clock';
import type {
  EndpointDirective,
  FencingNumber,
  OrderResult,
} from '@gentianshunt/orders';
import type {EndpointId, EndpointSetId} from '@gentianshunt/identifiers';

/** One execution of an operator's order at an endpoint by its set leader. */
export interface OrderExecution {
  readonly endpoint: EndpointId;
  readonly set: EndpointSetId;
  readonly epoch: number;
  readonly fencing: FencingNumber;
  readonly url: string;
  readonly directive: EndpointDirective;
  /** The entry's lease, without which it must not send the order. */
  readonly lease: Lease;
}

/** The state of an order execution. */
export type OrderExecutionState =
  | {readonly kind: 'sent'; readonly execution: OrderExecution}
  | {
      /** The result is reported until the control log has stored it. */
      readonly kind: 'ended';
      readonly execution: OrderExecution;
      readonly result: OrderResult;
    };

/** An epoch in which this entry leads a set, and its start. */
export interface OrderEpoch {
  readonly epoch: number;
  readonly since: MonotonicTime;
}
