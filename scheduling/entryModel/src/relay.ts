/** Requests that an entry passes on to another one. */
import type {NodeId, RelayId} from '@gentianshunt/identifiers';
import type {NetworkAddress} from '@gentianshunt/messages';

/** One handover of a request to another entry. */
export interface Relay {
  readonly id: RelayId;
  readonly to: NodeId;
  /** Where the other entry takes requests of entries. */
  readonly address: NetworkAddress;
}

/** How a handover ended. */
export type RelayEnd =
  /** Every byte of the other entry's answer was passed to the caller. */
  | {readonly kind: 'complete'}
  /** The connection failed before a byte of the request was sent. */
  | {readonly kind: 'notSent'; readonly detail: string}
  | {
      /** The answer broke off, or none came; the request may have run. */
      readonly kind: 'cut';
      readonly detail: string;
      /** Whether the caller has received a part of the answer. */
      readonly hasBegun: boolean;
    };
