import type {IncarnationId, NodeId} from '@gentianshunt/identifiers';
import type {LogIndex, Member, Term} from '@gentianshunt/messages';

import type {Role} from './role.js';

/** What a control member decided, or came to believe. */
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
      readonly objects: number;
    }
  | {
      readonly kind: 'sessionOpened';
      readonly node: NodeId;
      readonly incarnation: IncarnationId;
      readonly version: number;
    }
  | {readonly kind: 'sessionEnded'; readonly node: NodeId};
