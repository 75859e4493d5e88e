import {startDelayProbe} from './delayProbe.js';
import type {RecordedEvent, RunTime} from './recordedEvent.js';

type WithoutTime<Event> = Event extends RecordedEvent
  ? Omit<Event, 'at'>
  : never;

/** An event whose time the recorder adds. */
export type NewEvent = WithoutTime<RecordedEvent>;

/** Records what happens in a run, in order. */
export interface Recorder {
  /** Time since the start of the run. */
  readTime(): RunTime;
  record(event: NewEvent): void;
  readonly events: readonly RecordedEvent[];
  /** Stops measuring the delays of this process. */
  close(): void;
}

/** Delays below this time are not recorded. */
const MIN_DELAY_MS = 20;

/** Starts a record, which includes the delays of this process. */
export function createRecorder(): Recorder {
  const startedAt = performance.now();
  const events: RecordedEvent[] = [];
  const readTime = (): RunTime => Math.round(performance.now() - startedAt);
  const record = (event: NewEvent): void => {
    events.push({at: readTime(), ...event} as RecordedEvent);
  };
  const probe = startDelayProbe(delayMs => {
    if (delayMs >= MIN_DELAY_MS) {
      record({kind: 'recorderDelayed', delayMs: Math.round(delayMs)});
    }
  });
  return {readTime, record, events, close: probe.close};
}
