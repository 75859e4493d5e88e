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

const DELAY_INTERVAL_MS = 20;
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
  let dueAt = performance.now() + DELAY_INTERVAL_MS;
  const timer = setInterval(() => {
    const delayMs = Math.round(performance.now() - dueAt);
    dueAt = performance.now() + DELAY_INTERVAL_MS;
    if (delayMs >= MIN_DELAY_MS) {
      record({kind: 'recorderDelayed', delayMs});
    }
  }, DELAY_INTERVAL_MS);
  return {readTime, record, events, close: () => clearInterval(timer)};
}
