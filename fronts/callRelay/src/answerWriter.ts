import {createEventSplitter, MAX_EVENT_BYTES} from '@gentianshunt/callerFront';

import type {AnswerHead, OwnAnswer} from './callProtocol.js';
import type {OpenCall} from './callTable.js';
import {dropHeaders} from './headers.js';

/** Passes an endpoint's answer on to the caller. */
export interface AnswerWriter {
  /** Takes a chunk; tells whether the caller keeps up. */
  write(chunk: Buffer): boolean;
  /** Ends the answer; tells whether all that came was whole. */
  end(): boolean;
}

const NOTHING_DROPPED: ReadonlySet<string> = new Set();
const EVENT_ID = /^id:[ \t]?(.*)$/m;

/** Creates a writer for an answer that goes on where the caller stands. */
export function createAnswerWriter(
  call: OpenCall,
  head: AnswerHead,
  isResumable: boolean,
): AnswerWriter {
  const {response} = call;
  const write = (bytes: Buffer): boolean => {
    startAnswer(call, head);
    return response.destroyed || response.write(bytes);
  };
  if (!isResumable) {
    return {
      write,
      end: () => {
        startAnswer(call, head);
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
      return events.reduce((keepsUp, event) => {
        call.lastEventId = readEventId(event) ?? call.lastEventId;
        return write(event) && keepsUp;
      }, true);
    },
    end: () => {
      if (splitter.pendingBytes > 0) {
        return false;
      }
      startAnswer(call, head);
      response.end();
      return true;
    },
  };
}

function startAnswer({response}: OpenCall, head: AnswerHead): void {
  if (!response.headersSent) {
    response.writeHead(head.status, dropHeaders(head.headers, NOTHING_DROPPED));
  }
}

function readEventId(event: Buffer): string | undefined {
  return EVENT_ID.exec(event.toString('latin1'))?.[1]?.trim();
}

/** Ends a call with an answer of the scheduler's own. */
export function sendOwnAnswer(
  response: OpenCall['response'],
  answer: OwnAnswer,
): void {
  if (response.destroyed || response.writableEnded) {
    return;
  }
  if (response.headersSent) {
    // An answer that ends early must not look complete.
    response.destroy();
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
