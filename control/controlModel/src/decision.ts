import type {IncarnationId, NodeId} from '@gentianshunt/identifiers';
import type {LogIndex, Member, Term} from '@gentianshunt/messages';

import type {Role} from './role.js';

/** A change in a control daemon's state that its decision log records. */
export type ControlDecision =
  | {
      readonly kind: 'roleChanged';
      readonly role: Role['kind'];
      readonly term: Term;
      readonly leader: NodeId | null;
      readonly commitIndex: LogIndex;
    }
  | {
      readonly kind: 'membersChanged';
      readonly index: LogIndex;
      readonly members: readonly Member[];
    }
  | {
      readonly kind: 'releaseApplied';
      /** The operator's version. */
      readonly release: number;
      readonly index: LogIndex;
      /** The number of objects in the configuration. */
      readonly objects: number;
    }
  | {
      readonly kind: 'sessionOpened';
      readonly node: NodeId;
      readonly incarnation: IncarnationId;
      readonly version: number;
    }
  | {readonly kind: 'sessionEnded'; readonly node: NodeId};
