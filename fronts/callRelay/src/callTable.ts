import type {ServerResponse} from 'node:http';

import type {RequestId} from '@gentianshunt/identifiers';

import type {CallHead} from './callProtocol.js';

/** A call whose caller awaits its answer. */
export interface OpenCall {
  readonly id: RequestId;
  readonly head: CallHead;
  readonly body: Buffer;
  readonly response: ServerResponse;
  /** When the call must have its final answer (monotonic milliseconds). */
  readonly dueAt: number;
  readonly timer: NodeJS.Timeout;
  /** The last whole event that the caller was sent. */
  lastEventId: string | null;
}

/** The open calls of an entry. */
export interface CallTable {
  add(call: OpenCall): void;
  find(id: RequestId): OpenCall | undefined;
  /** Takes a call out; its timer no longer runs. */
  take(id: RequestId): OpenCall | undefined;
}

/** Creates an empty table. */
export function createCallTable(): CallTable {
  const calls = new Map<RequestId, OpenCall>();
  return {
    add: call => {
      calls.set(call.id, call);
    },
    find: id => calls.get(id),
    take: id => {
      const call = calls.get(id);
      if (call !== undefined) {
        calls.delete(id);
        clearTimeout(call.timer);
      }
      return call;
    },
  };
}
