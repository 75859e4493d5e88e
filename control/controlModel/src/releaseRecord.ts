import type {MonotonicTime} from '@gentianshunt/clock';
import type {LogIndex} from '@gentianshunt/messages';

/** When a release reached each stage, by the clock of this member. */
export interface ReleaseRecord {
  /** The operator's version. */
  readonly release: number;
  /** Its log entry, which is also its configuration version. */
  readonly index: LogIndex;
  readonly bytes: number;
  /** `null` if this member did not propose it. */
  readonly proposedAt: MonotonicTime | null;
  /** `null` until it is committed and applied here. */
  readonly appliedAt: MonotonicTime | null;
  /**
   * When this member, as the leader, knew that every live lease has confirmed
   * it; `null` before, and on other members.
   */
  readonly inForceAt: MonotonicTime | null;
  /** Whether the log says which entries lag. */
  readonly isLagLogged: boolean;
}
