/** Records the heartbeats of an entry and what came back for them. */
import type {Instant, Milliseconds} from '@gentianshunt/clock';
import type {HeartbeatAnswer, SentHeartbeat} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';

/** Heartbeats that an entry remembers; they span the longest lease. */
export const MAX_RECORDED_HEARTBEATS = 24;

/** Adds a heartbeat that is being sent. */
export function addHeartbeat(
  heartbeats: readonly SentHeartbeat[],
  sent: Pick<SentHeartbeat, 'sequence' | 'to' | 'sentAt'>,
): readonly SentHeartbeat[] {
  const latest = heartbeats.slice(1 - MAX_RECORDED_HEARTBEATS);
  return [...latest, {...sent, answer: {kind: 'none'}}];
}

/** Records what came back for a heartbeat, if it is remembered. */
export function recordAnswer(
  heartbeats: readonly SentHeartbeat[],
  sequence: number | null,
  createAnswer: (afterMs: Milliseconds) => HeartbeatAnswer,
  now: Instant,
): readonly SentHeartbeat[] {
  return heartbeats.map(heartbeat =>
    heartbeat.sequence === sequence
      ? {...heartbeat, answer: createAnswer(measureAge(heartbeat, now))}
      : heartbeat,
  );
}

/** Measures the time since a heartbeat was sent. */
export function measureAge(
  {sentAt}: Pick<SentHeartbeat, 'sentAt'>,
  now: Instant,
): Milliseconds {
  return now.monotonic - sentAt.monotonic;
}

/** Returns whether a heartbeat after this one has renewed the lease. */
export function isAnswerOutdated(
  heartbeats: readonly SentHeartbeat[],
  sequence: number | null,
): boolean {
  return (
    sequence !== null &&
    (findLatestRenewal(heartbeats)?.sequence ?? 0) > sequence
  );
}

/**
 * Measures for how long a daemon has renewed no lease: the age of its first
 * heartbeat after the latest one that renewed the lease; 0 without any.
 */
export function measureSilence(
  heartbeats: readonly SentHeartbeat[],
  node: NodeId,
  now: Instant,
): Milliseconds {
  const renewed = findLatestRenewal(heartbeats)?.sequence ?? 0;
  const first = heartbeats.find(
    ({to, sequence}) => to === node && sequence > renewed,
  );
  return first === undefined ? 0 : measureAge(first, now);
}

function findLatestRenewal(
  heartbeats: readonly SentHeartbeat[],
): SentHeartbeat | undefined {
  return heartbeats.filter(({answer}) => answer.kind === 'renewed').at(-1);
}

/**
 * Sorts daemons by their latest heartbeat, the oldest first. Among daemons that
 * were not asked, the sequence decides.
 */
export function sortByLeastAsked(
  nodes: readonly NodeId[],
  heartbeats: readonly SentHeartbeat[],
  sequence: number,
): readonly NodeId[] {
  const first = sequence % Math.max(1, nodes.length);
  const rotated = [...nodes.slice(first), ...nodes.slice(0, first)];
  const lastAsked = new Map(heartbeats.map(each => [each.to, each.sequence]));
  const readLast = (node: NodeId): number => lastAsked.get(node) ?? 0;
  return rotated.sort((left, right) => readLast(left) - readLast(right));
}
