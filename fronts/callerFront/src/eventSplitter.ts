/** The event that marks the end of a stream, without its separator. */
export const END_MARK = 'data: [DONE]';
/** Largest event accepted from an endpoint, in bytes. */
export const MAX_EVENT_BYTES = 1024 * 1024;

const SEPARATOR = Buffer.from('\n\n');

/** Splits an event stream into complete events across chunk boundaries. */
export interface EventSplitter {
  /** Adds a chunk and returns the events it completes, with separators. */
  push(chunk: Buffer): readonly Buffer[];
  /** Number of bytes received of the incomplete event. */
  readonly pendingBytes: number;
}

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);
  return {
    push: chunk => {
      const events: Buffer[] = [];
      // A separator may begin with the last byte of the previous chunk.
      let searchFrom = Math.max(0, pending.length - SEPARATOR.length + 1);
      let bytes =
        pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      for (;;) {
        const at = bytes.indexOf(SEPARATOR, searchFrom);
        if (at < 0) {
          break;
        }
        events.push(bytes.subarray(0, at + SEPARATOR.length));
        bytes = bytes.subarray(at + SEPARATOR.length);
        searchFrom = 0;
      }
      pending = bytes;
      return events;
    },
    get pendingBytes() {
      return pending.length;
    },
  };
}

/** Returns whether an event marks the end of its stream. */
export function isEndMark(event: Buffer): boolean {
  return event.toString('latin1').trim() === END_MARK;
}
