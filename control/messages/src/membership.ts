import type {Identifier, NodeId} from '@gentianshunt/identifiers';

/** Identifies one data folder; an emptied folder gets another. */
export type StorageId = Identifier<'storage'>;

/** A data folder that takes part in the log. */
export interface Member {
  readonly node: NodeId;
  readonly storage: StorageId;
  /** A learner receives the log and does not count in a quorum. */
  readonly role: 'voter' | 'learner';
}
