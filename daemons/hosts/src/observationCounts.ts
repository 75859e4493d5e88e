import type {EntryObservation} from '@gentianshunt/entryModel';

/** Counts the observations of an entry by kind. */
export interface ObservationCounts {
  add(observation: EntryObservation): void;
  /** Reads the counts since the start. */
  read(): ReadonlyMap<string, number>;
  /**
   * Lists the counts since the previous call as `kind:count`, highest first.
   */
  takeRecent(): readonly string[];
}

/** Creates counts that start at zero. */
export function createObservationCounts(): ObservationCounts {
  const counts = new Map<string, number>();
  let before: ReadonlyMap<string, number> = new Map();
  return {
    add: observation => {
      const kind = formatKind(observation);
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
    },
    read: () => counts,
    takeRecent: () => {
      const recent = Array.from(counts, ([kind, count]) => ({
        kind,
        count: count - (before.get(kind) ?? 0),
      }));
      before = new Map(counts);
      return recent
        .filter(({count}) => count > 0)
        .sort((left, right) => right.count - left.count)
        .map(({kind, count}) => `${kind}:${count}`);
    },
  };
}

/** Names messages and timers by their own kind. */
function formatKind(observation: EntryObservation): string {
  switch (observation.kind) {
    case 'entryMessage':
    case 'controlMessage':
      return observation.message.kind;
    case 'timerDue':
      return `${observation.timer.kind}Timer`;
    default:
      return observation.kind;
  }
}
