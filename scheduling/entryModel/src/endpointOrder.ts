import type {MonotonicTime} from '@gentianshunt/clock';
import type {
  EndpointDirective,
  FencingNumber,
  OrderResult,
} from '@gentianshunt/orders';
import type {EndpointId, EndpointSetId} from '@gentianshunt/identifiers';

/** One carrying of an order to its endpoint by the leader of its set. */
export interface OrderRun {
  readonly endpoint: EndpointId;
  readonly set: EndpointSetId;
  readonly epoch: number;
  readonly fencing: FencingNumber;
  readonly url: string;
  readonly directive: EndpointDirective;
  /** After this instant the order must not be sent: the lease is over. */
  readonly sendBefore: MonotonicTime;
}

/** How far a run has come. */
export type OrderRunState =
  | {readonly kind: 'sent'; readonly run: OrderRun}
  | {
      /** Reported until the control log holds the result. */
      readonly kind: 'ended';
      readonly run: OrderRun;
      readonly result: OrderResult;
    };

/** Since when this entry has led a set in an epoch. */
export interface OrderEpoch {
  readonly epoch: number;
  readonly since: MonotonicTime;
}
