import type {Milliseconds} from '@gentianshunt/clock';
import type {EntryAddress} from '@gentianshunt/messages';
import type {IncarnationId, NodeId} from '@gentianshunt/identifiers';

/**
 * Limits that hold for all entries of a deployment together; each entry
 * enforces its fraction of them.
 */
export interface SharedBounds {
  /** Retries allowed in a set for each request to it. */
  readonly repeatRatio: number;
  /** Retries allowed in a set in addition to the ratio. */
  readonly repeatBurst: number;
  /** How far an organisation may exceed its token quota. */
  readonly allotmentTolerance: QuotaTolerance;
}

/** Use above a token quota that an operator tolerates in any time window. */
export interface QuotaTolerance {
  /** Length of the window. */
  readonly windowMs: Milliseconds;
  /** Fraction of the window's quota that may be used on top of it. */
  readonly overage: number;
  /** Tokens that may be used on top of the quota and the overage. */
  readonly slackTokens: number;
}

/** The limits of a deployment whose settings name none. */
export const DEFAULT_SHARED_BOUNDS: SharedBounds = {
  repeatRatio: 0.1,
  repeatBurst: 16,
  allotmentTolerance: {windowMs: 1_000, overage: 0, slackTokens: 0},
};

/** Reads the limits that an entry shares with the other entries. */
export function readSharedBounds({
  bounds = DEFAULT_SHARED_BOUNDS,
}: Pick<EntryIdentity, 'bounds'>): SharedBounds {
  return bounds;
}

/** What an entry does while a set leader does not answer. */
export type LeaderSilencePolicy =
  /** Dispatches nothing, so that no endpoint exceeds its concurrency. */
  | {readonly kind: 'wait'}
  /**
   * Uses its fallback capacity, an equal fraction of the set. Only for
   * endpoints that queue the requests beyond their concurrency.
   */
  | {readonly kind: 'useFallbackCapacity'};

/** An entry's own address and settings, fixed when its process starts. */
export interface EntryIdentity {
  readonly address: EntryAddress;
  readonly incarnation: IncarnationId;
  /** Nodes at which to look for the leading control daemon after a start. */
  readonly controlNodes: readonly NodeId[];
  /**
   * Whether `controlNodes` may name nodes that are not members of the control
   * group; the entry then sends the member list to these nodes as well.
   */
  readonly broadcastsMembers?: boolean;
  /** Whether the VM has a disk on which the entry stores what must last. */
  readonly hasDisk?: boolean;
  readonly bounds?: SharedBounds;
  /** Defaults to `wait`. */
  readonly leaderSilence?: LeaderSilencePolicy;
}
