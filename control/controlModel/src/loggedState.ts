/** What the decision log of a member has recorded. */
import type {MonotonicTime} from '@gentianshunt/clock';
import type {NodeId} from '@gentianshunt/identifiers';
import type {LogIndex} from '@gentianshunt/messages';

import type {Role} from './role.js';

/** The member's state as the decision log last recorded it. */
export interface LoggedState {
  readonly role: Role['kind'] | null;
  readonly term: number;
  readonly leader: NodeId | null;
  /** The log index of the latest membership. */
  readonly membersIndex: LogIndex;
  readonly sessions: ReadonlySet<NodeId>;
}

/** Before the first recorded decision. */
export const NOTHING_LOGGED: LoggedState = {
  role: null,
  term: 0,
  leader: null,
  membersIndex: -1,
  sessions: new Set(),
};

/** Whether the member, as the leader, may answer entries. */
export type LeaderConfirmation =
  | {readonly kind: 'following'}
  | {
      readonly kind: 'confirmed';
      /** When it was last logged that it was not confirmed. */
      readonly loggedAt: MonotonicTime;
    }
  | {
      readonly kind: 'unconfirmed';
      readonly since: MonotonicTime;
      /** When it was last logged, in this time or an earlier one. */
      readonly loggedAt: MonotonicTime;
    };
