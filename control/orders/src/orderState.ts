import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';

/** Increases with every issued order; endpoints refuse lower numbers. */
export type FencingNumber = number;

/** The result of executing an order. */
export type OrderResult =
  | {readonly kind: 'done'}
  /** The endpoint refused the order. */
  | {readonly kind: 'refused'; readonly detail: string}
  /** The endpoint has seen a higher fencing number. */
  | {readonly kind: 'outdated'}
  /** The endpoint may or may not have received the order. */
  | {readonly kind: 'unknown'; readonly detail: string};

/** The state of an order. */
export type OrderState =
  | {readonly kind: 'queued'}
  | {
      readonly kind: 'issued';
      readonly fencing: FencingNumber;
      readonly set: EndpointSetId;
      /** The set leader that executes the order. */
      readonly node: NodeId;
      readonly epoch: number;
    }
  | {
      readonly kind: 'ended';
      readonly fencing: FencingNumber;
      readonly result: OrderResult;
    };
