import type {AnswerProgress} from '@gentianshunt/entryModel';

const LINE_FEED = 0x0a;
const EVENT_END = Buffer.from('\n\n');

/** Tracks how far an answer has come. */
export interface ProgressTracker {
  recordHead(): void;
  recordChunk(chunk: Buffer): void;
  read(): AnswerProgress;
}

/** Creates the tracker of one answer. */
export function createProgressTracker(): ProgressTracker {
  let progress: AnswerProgress = 'awaitingHead';
  let endsWithLineFeed = false;
  return {
    recordHead: () => {
      progress = 'awaitingFirstEvent';
    },
    recordChunk: chunk => {
      if (progress === 'delivering') {
        return;
      }
      // The end of an event may be divided between two chunks.
      const isEventEnd = endsWithLineFeed && chunk[0] === LINE_FEED;
      if (isEventEnd || chunk.includes(EVENT_END)) {
        progress = 'delivering';
      }
      endsWithLineFeed = chunk[chunk.length - 1] === LINE_FEED;
    },
    read: () => progress,
  };
}
