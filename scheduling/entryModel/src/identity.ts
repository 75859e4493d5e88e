import type {Milliseconds} from '@gentianshunt/clock';
import type {EntryAddress} from '@gentianshunt/messages';
import type {IncarnationId, NodeId} from '@gentianshunt/identifiers';

/** Bounds that all entries keep together; each keeps its part of them. */
export interface SharedBounds {
  /** Repeated dispatches of a set for each request to it. */
  readonly repeatRatio: number;
  /** Repeated dispatches of a set beyond the ratio. */
  readonly repeatBurst: number;
  /** How far an organisation may exceed its allotment. */
  readonly allotmentTolerance: AllotmentTolerance;
}

/** What an operator concedes beyond an allotment, in any span of a length. */
export interface AllotmentTolerance {
  readonly windowMs: Milliseconds;
  /** Part of the allotment of the span. */
  readonly overage: number;
  readonly slackTokens: number;
}

/** Bounds of a deployment that sets none. */
export const DEFAULT_SHARED_BOUNDS: SharedBounds = {
  repeatRatio: 0.1,
  repeatBurst: 16,
  allotmentTolerance: {windowMs: 1_000, overage: 0, slackTokens: 0},
};

/** Reads the bounds that an entry keeps its part of. */
export function readSharedBounds({
  bounds = DEFAULT_SHARED_BOUNDS,
}: Pick<EntryIdentity, 'bounds'>): SharedBounds {
  return bounds;
}

/** What an entry does while the leader of a set does not answer. */
export type LeaderSilence =
  /** Nothing, so that no endpoint ever runs more than it can hold. */
  | {readonly kind: 'wait'}
  /** It takes its equal part; for endpoints that queue what is too much. */
  | {readonly kind: 'takeShare'};

/** What an entry knows of itself and of the control daemons. */
export interface EntryIdentity {
  readonly address: EntryAddress;
  readonly incarnation: IncarnationId;
  /** Where the control log may be found at first. */
  readonly controls: readonly NodeId[];
  /** Whether the settings may name nodes that do not keep the log. */
  readonly spreadsMembers?: boolean;
  readonly bounds?: SharedBounds;
  /** Left out, it waits. */
  readonly leaderSilence?: LeaderSilence;
}
