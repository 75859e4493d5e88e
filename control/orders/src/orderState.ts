import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';

/** Rises with every order that is issued; endpoints refuse lower ones. */
export type FencingNumber = number;

/** What came of carrying an order to its endpoint. */
export type OrderResult =
  | {readonly kind: 'done'}
  /** The endpoint refused it. */
  | {readonly kind: 'refused'; readonly detail: string}
  /** The endpoint knows a higher fencing number. */
  | {readonly kind: 'outdated'}
  /** The endpoint may or may not have it. */
  | {readonly kind: 'unknown'; readonly detail: string};

/** How far an order has come. */
export type OrderState =
  | {readonly kind: 'queued'}
  | {
      readonly kind: 'issued';
      readonly fencing: FencingNumber;
      readonly set: EndpointSetId;
      /** The leader of the set that carries the order. */
      readonly node: NodeId;
      readonly epoch: number;
    }
  | {
      readonly kind: 'ended';
      readonly fencing: FencingNumber;
      readonly result: OrderResult;
    };
