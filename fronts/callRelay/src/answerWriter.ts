import {
  abandonAnswer,
  createEventSplitter,
  MAX_EVENT_BYTES,
} from '@gentianshunt/callerFront';

import type {AnswerHead, SchedulerAnswer} from './callProtocol.js';
import type {OpenCall} from './callTable.js';
import {dropHeaders, findHeader} from './headers.js';

/** Forwards an endpoint's answer to the caller. */
export interface AnswerWriter {
  /** Writes a chunk; returns `false` if the caller reads too slowly. */
  write(chunk: Buffer): boolean;
  /** Ends the answer; returns `false` if it stopped inside an event. */
  end(): boolean;
}

const NO_HEADERS: ReadonlySet<string> = new Set();
/** An answer that another endpoint continues may have another length. */
const DROPPED_IF_RESUMABLE: ReadonlySet<string> = new Set(['content-length']);
const EVENT_ID = /^id:[ \t]?(.*)$/m;

/**
 * Creates a writer that sends the head of an answer, unless the caller already
 * has one, and then the body. Of a resumable answer it forwards only complete
 * events and records the last event ID, after which another endpoint continues.
 */
export function createAnswerWriter(
  call: OpenCall,
  head: AnswerHead,
  isResumable: boolean,
): AnswerWriter {
  const {response} = call;
  const dropped = isResumable ? DROPPED_IF_RESUMABLE : NO_HEADERS;
  const write = (bytes: Buffer): boolean => {
    startAnswer(call, head, dropped);
    return response.destroyed || response.write(bytes);
  };
  if (!isResumable) {
    const tail = createTailTracker(head);
    return {
      write: chunk => {
        tail.push(chunk);
        return write(chunk);
      },
      end: () => {
        if (tail.isInsideEvent()) {
          return false;
        }
        startAnswer(call, head, dropped);
        response.end();
        return true;
      },
    };
  }
  const splitter = createEventSplitter();
  return {
    write: chunk => {
      const events = splitter.push(chunk);
      if (splitter.pendingBytes > MAX_EVENT_BYTES) {
        throw new RangeError('an event is too large');
      }
      return events.reduce((isWritable, event) => {
        call.lastEventId = readEventId(event) ?? call.lastEventId;
        return write(event) && isWritable;
      }, true);
    },
    end: () => {
      if (splitter.pendingBytes > 0) {
        return false;
      }
      startAnswer(call, head, dropped);
      response.end();
      return true;
    },
  };
}

/** Detects an answer that stopped in the middle of an event. */
interface TailTracker {
  push(chunk: Buffer): void;
  isInsideEvent(): boolean;
}

/** Bytes of the longest separator of two events. */
const SEPARATOR_BYTES = 4;
const EVENT_END = /\n\r?\n$/;

/** Tracks the last bytes of a stream of events; of other answers nothing. */
function createTailTracker({headers}: AnswerHead): TailTracker {
  const type = findHeader(headers, 'content-type') ?? '';
  const isStream = type.trim().toLowerCase().startsWith('text/event-stream');
  let tail = '';
  return {
    push: chunk => {
      if (isStream) {
        const last = chunk.subarray(-SEPARATOR_BYTES).toString('latin1');
        tail = (tail + last).slice(-SEPARATOR_BYTES);
      }
    },
    isInsideEvent: () => tail !== '' && !EVENT_END.test(tail),
  };
}

function startAnswer(
  call: OpenCall,
  head: AnswerHead,
  dropped: ReadonlySet<string>,
): void {
  if (!call.response.headersSent) {
    call.response.writeHead(head.status, dropHeaders(head.headers, dropped));
    call.sentHead = head;
  }
}

function readEventId(event: Buffer): string | undefined {
  return EVENT_ID.exec(event.toString('latin1'))?.[1]?.trim();
}

/** Ends a call with an answer that the scheduler creates itself. */
export function sendSchedulerAnswer(
  response: OpenCall['response'],
  answer: SchedulerAnswer,
): void {
  if (response.destroyed || response.writableEnded) {
    return;
  }
  if (response.headersSent) {
    abandonAnswer(response);
    return;
  }
  const body = Buffer.from(answer.body);
  response.writeHead(answer.status, [
    ...answer.headers,
    'Content-Length',
    String(body.length),
  ]);
  response.end(body);
}
