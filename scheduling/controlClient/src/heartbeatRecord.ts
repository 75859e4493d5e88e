/** Records the heartbeats of an entry and what came back for them. */
import type {Instant} from '@gentianshunt/clock';
import type {HeartbeatAnswer, SentHeartbeat} from '@gentianshunt/entryModel';

/** Heartbeats that an entry remembers; they span the longest lease. */
export const MAX_RECORDED_HEARTBEATS = 12;

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
  createAnswer: (afterMs: number) => HeartbeatAnswer,
  now: Instant,
): readonly SentHeartbeat[] {
  return heartbeats.map(heartbeat => {
    const afterMs = now.monotonic - heartbeat.sentAt.monotonic;
    return heartbeat.sequence === sequence
      ? {...heartbeat, answer: createAnswer(afterMs)}
      : heartbeat;
  });
}
