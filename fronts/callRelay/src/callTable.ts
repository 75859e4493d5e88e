import type {ServerResponse} from 'node:http';

import type {MonotonicTime} from '@gentianshunt/clock';
import type {RequestId} from '@gentianshunt/identifiers';
import type {RequestBody} from '@gentianshunt/requestBodies';

import type {AnswerHold} from './answerHold.js';
import type {AnswerHead, CallHead} from './callProtocol.js';

/** A call whose caller awaits the answer. */
export interface OpenCall {
  readonly id: RequestId;
  readonly head: CallHead;
  readonly body: RequestBody;
  readonly response: ServerResponse;
  readonly receivedAt: MonotonicTime;
  /** Deadline of the final answer, in monotonic milliseconds. */
  readonly dueAt: MonotonicTime;
  readonly timer: NodeJS.Timeout;
  readonly hold: AnswerHold;
  /** How often it was sent to an endpoint. */
  sentCount: number;
  /** ID of the last complete event sent to the caller. */
  lastEventId: string | null;
  /** Head of the answer that the caller has received; `null` before it. */
  sentHead: AnswerHead | null;
}

/** The calls of an entry that await an answer. */
export interface CallTable {
  add(call: OpenCall): void;
  find(id: RequestId): OpenCall | undefined;
  /** Removes a call, stops its timer, frees its body and returns it. */
  remove(id: RequestId): OpenCall | undefined;
}

/** Creates an empty table. */
export function createCallTable(): CallTable {
  const calls = new Map<RequestId, OpenCall>();
  return {
    add: call => {
      calls.set(call.id, call);
    },
    find: id => calls.get(id),
    remove: id => {
      const call = calls.get(id);
      if (call !== undefined) {
        calls.delete(id);
        clearTimeout(call.timer);
        call.body.release();
      }
      return call;
    },
  };
}
