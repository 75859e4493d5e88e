import type {Identifier, NodeId} from '@gentianshunt/identifiers';

/** Identifies a data folder; a folder that was emptied gets a new one. */
export type StorageId = Identifier<'storage'>;

/** A node with its data folder in the group that replicates the log. */
export interface Member {
  readonly node: NodeId;
  readonly storage: StorageId;
  /** A learner receives the log but does not count towards a quorum. */
  readonly role: 'voter' | 'learner';
}
