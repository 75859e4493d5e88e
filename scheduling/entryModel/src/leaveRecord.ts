import type {TurnTime} from '@gentianshunt/board';
import type {Lease, Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {
  EndpointId,
  IncarnationId,
  NodeId,
} from '@gentianshunt/identifiers';

import type {LeftIncarnation, WithdrawalSource} from './withdrawal.js';

/** The latest that an entry knows of an endpoint that left. */
export interface LeaveRecord {
  /** Whether the incarnation left, or started after an earlier one had left. */
  readonly state: LeaveState;
  readonly incarnation: LeftIncarnation;
  readonly source: WithdrawalSource;
  /** This entry, or the one that told it. */
  readonly learntFrom: NodeId;
  /** The process in whose log it was read; null if it was told otherwise. */
  readonly readFrom: IncarnationId | null;
  /** Position of the record among all that this entry has learnt. */
  readonly version: number;
  /** Until when announcements of earlier incarnations may still arrive. */
  readonly until: MonotonicTime;
}

/** What happened last to an endpoint that left. */
export type LeaveState = 'left' | 'returned';

/** A record as entries report it to each other. */
export interface ReportedLeave {
  readonly endpoint: EndpointId;
  readonly state: LeaveState;
  readonly incarnation: LeftIncarnation;
  readonly remainingMs: Milliseconds;
}

/** How many records a process has learnt; positions of others are smaller. */
export interface LeaveLogPosition {
  readonly process: IncarnationId;
  readonly version: number;
}

/** The records of an entry as a whole. */
export interface LeaveLog {
  /** Version of the latest record. */
  readonly version: number;
  /** Combined hash of all records, whatever their order. */
  readonly digest: number;
}

/** Which of its records an entry has stored on its disk. */
export interface StoredLeaves {
  /** Version of the latest one. */
  readonly version: number;
  readonly at: MonotonicTime;
}

/** Requests for the leaves that other entries know. */
export interface LeaveExchange {
  /** Number of the latest request. */
  readonly lastRequest: number;
  readonly requestedAt: MonotonicTime;
  /** The entry's lease when it was last looked at. */
  readonly lease: Lease;
}

/** A leave that an endpoint told to this entry and no other is known to have. */
export interface UnconfirmedLeave {
  readonly left: LeftIncarnation;
  readonly since: MonotonicTime;
  /** When other entries were last asked to confirm it. */
  readonly askedAt: MonotonicTime;
  /** Whether the endpoint was told that the leave is not confirmed. */
  readonly isRefused: boolean;
}

/** Why an entry may have missed leaves. */
export type CatchUpCause = 'start' | 'lease' | 'pause';

/** Whether an entry may have missed leaves. */
export type LeaveCatchUp =
  | {readonly kind: 'current'}
  | {
      readonly kind: 'catchingUp';
      readonly cause: CatchUpCause;
      /** When it could first ask others; infinity until it can. */
      readonly since: MonotonicTime;
      /** Replies to earlier requests do not count. */
      readonly firstRequest: number;
      readonly pausedMs: Milliseconds;
      /** The entries that were asked lately. */
      readonly asked: readonly AskedEntry[];
    };

/** An entry that was asked for leaves, and when. */
export interface AskedEntry {
  readonly node: NodeId;
  readonly at: MonotonicTime;
}

/** When the process last ran a periodic check, by both clocks. */
export interface ProcessActivity {
  readonly checkedAt: MonotonicTime;
  readonly wallTime: Date;
}

/** Longest time between two checks of a process that runs. */
export const MAX_CHECK_GAP_MS: Milliseconds = 1_250;
/** Most by which the time of day may advance ahead of the monotonic clock. */
export const MAX_CLOCK_GAP_MS: Milliseconds = 1_000;

/** The board sections that show whether an entry may have missed leaves. */
export interface LeaveKnowledge {
  readonly leaveCatchUp: LeaveCatchUp;
  readonly processActivity: ProcessActivity | null;
}

/**
 * Returns whether an entry knows the leaves of the last seconds as far as it can,
 * so that it may dispatch requests.
 */
export function isLeaveKnowledgeCurrent(
  {leaveCatchUp, processActivity}: LeaveKnowledge,
  now: TurnTime,
): boolean {
  return (
    leaveCatchUp.kind === 'current' && measurePause(processActivity, now) === 0
  );
}

/**
 * Measures for how long the process or its VM has stood still, from the time
 * since its latest check. The monotonic clock of a suspended VM may stand still
 * too, while its time of day is set right afterwards.
 */
export function measurePause(
  activity: ProcessActivity | null,
  now: TurnTime,
): Milliseconds {
  if (activity === null) {
    return 0;
  }
  const gapMs = now.monotonic - activity.checkedAt;
  const wallGapMs = now.wall.getTime() - activity.wallTime.getTime();
  const isPaused =
    gapMs > MAX_CHECK_GAP_MS || wallGapMs - gapMs > MAX_CLOCK_GAP_MS;
  return isPaused ? Math.max(gapMs, wallGapMs) : 0;
}
