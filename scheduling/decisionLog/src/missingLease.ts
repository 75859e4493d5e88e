/** Finds in the latest heartbeats of an entry why it has no lease. */
import type {TurnTime} from '@gentianshunt/board';
import type {
  ControlStatus,
  HeartbeatSummary,
  MissingLeaseCause,
  SentHeartbeat,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';

/** Heartbeats that one log line lists. */
export const MAX_LOGGED_HEARTBEATS = 8;

type ControlRecord = Pick<ControlStatus, 'heartbeats' | 'lease'>;

/** Lists the latest heartbeats with what came back, newest last. */
export function listHeartbeatSummaries(
  {heartbeats}: ControlRecord,
  now: TurnTime,
): readonly HeartbeatSummary[] {
  return heartbeats
    .slice(-MAX_LOGGED_HEARTBEATS)
    .map(({to, sentAt, answer}) => ({
      to,
      ageMs: now.monotonic - sentAt.monotonic,
      answer,
    }));
}

/** Finds why the heartbeats after the latest renewal brought no lease. */
export function findMissingLeaseCause(
  record: ControlRecord,
): MissingLeaseCause {
  const {heartbeats} = record;
  const kinds = heartbeats.map(({answer}) => answer.kind);
  const renewed = kinds.lastIndexOf('renewed');
  const unsuccessful = heartbeats.slice(renewed + 1);
  if (unsuccessful.length > 0) {
    return findFailureCause(unsuccessful);
  }
  const last = heartbeats[renewed];
  return last !== undefined && isRenewalLate(record, last)
    ? 'replyLate'
    : 'notAsked';
}

/** Returns whether the lease had ended when the reply that renewed it came. */
function isRenewalLate(
  {lease}: ControlRecord,
  {sentAt, answer}: SentHeartbeat,
): boolean {
  return (
    answer.kind === 'renewed' &&
    sentAt.monotonic + answer.afterMs >= lease.until
  );
}

function findFailureCause(
  heartbeats: readonly SentHeartbeat[],
): MissingLeaseCause {
  const causes = new Set(heartbeats.map(toCause));
  const ranked = ['replyLate', 'leaderSilent', 'noLeader'] as const;
  return ranked.find(cause => causes.has(cause)) ?? 'noReply';
}

/** What one heartbeat that brought no lease shows of the cause. */
function toCause({answer}: SentHeartbeat): MissingLeaseCause {
  switch (answer.kind) {
    case 'none':
      return 'noReply';
    case 'renewed':
    case 'unused':
      return 'replyLate';
    case 'notLeader':
      return answer.leader === null ? 'noLeader' : 'leaderSilent';
    default:
      return assertNever(answer, 'toCause');
  }
}
