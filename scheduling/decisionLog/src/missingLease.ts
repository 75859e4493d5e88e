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

/** Finds why the heartbeats after the latest timely renewal brought no lease. */
export function findMissingLeaseCause(
  record: ControlRecord,
): MissingLeaseCause {
  const {heartbeats} = record;
  const timely = heartbeats
    .map(heartbeat => isRenewalTimely(record, heartbeat))
    .lastIndexOf(true);
  const causes = new Set(heartbeats.slice(timely + 1).map(toCause));
  const ranked = [
    'replyLate',
    'versionMissing',
    'leaderSilent',
    'noLeader',
    'noReply',
  ] as const;
  return ranked.find(cause => causes.has(cause)) ?? 'notAsked';
}

/** Returns whether a renewal came before the lease had ended. */
function isRenewalTimely(
  {lease}: ControlRecord,
  {sentAt, answer}: SentHeartbeat,
): boolean {
  return (
    answer.kind === 'renewed' && sentAt.monotonic + answer.afterMs < lease.until
  );
}

/** What one heartbeat that brought no lease shows of the cause. */
function toCause({answer}: SentHeartbeat): MissingLeaseCause {
  switch (answer.kind) {
    case 'none':
      return 'noReply';
    case 'renewed':
      return 'replyLate';
    case 'unused':
      return 'versionMissing';
    case 'notLeader':
      return answer.leader === null ? 'noLeader' : 'leaderSilent';
    default:
      return assertNever(answer, 'toCause');
  }
}
