import type {RecordedEvent} from './recordedEvent.js';

/** Lists the events of some kinds. */
export function listEvents<Kind extends RecordedEvent['kind']>(
  events: readonly RecordedEvent[],
  ...kinds: readonly Kind[]
): readonly (RecordedEvent & {readonly kind: Kind})[] {
  const wanted: readonly string[] = kinds;
  return events.filter(
    (event): event is RecordedEvent & {readonly kind: Kind} =>
      wanted.includes(event.kind),
  );
}
