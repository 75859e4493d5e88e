import type {ConsensusMessage, StorageId} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

type MessageOf<Kind extends ConsensusMessage['kind']> = Extract<
  ConsensusMessage,
  {readonly kind: Kind}
>;

export type MemberHello = MessageOf<'memberHello'>;
export type MemberHelloReply = MessageOf<'memberHelloReply'>;
export type VoteRequest = MessageOf<'voteRequest'>;
export type VoteReply = MessageOf<'voteReply'>;
export type AppendRequest = MessageOf<'appendRequest'>;
export type AppendReply = MessageOf<'appendReply'>;
export type SnapshotChunk = MessageOf<'snapshotChunk'>;
export type SnapshotChunkReply = MessageOf<'snapshotChunkReply'>;

/** The node that sent a message, and its data folder. */
export interface Sender {
  readonly node: NodeId;
  readonly storage: StorageId;
}
