/** Answers calls whose bodies were not read; none of them has run. */
import {refuseUnadmitted} from '@gentianshunt/entryModel';
import type {Refusal} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {ReceivedBody} from '@gentianshunt/requestBodies';

import type {CallHead, CallProtocol, SchedulerAnswer} from './callProtocol.js';

/** A call whose body was not read, with the reason. */
export type UnreadBody = Exclude<ReceivedBody, {readonly kind: 'received'}>;

/** How a call without a body is answered. */
export type UnreadAnswer =
  | {readonly kind: 'refused'; readonly refusal: Refusal}
  | {readonly kind: 'answered'; readonly answer: SchedulerAnswer};

/** Short, because another entry can take the call at once. */
const MEMORY_RETRY_AFTER_MS = 200;
const CLOSED = ['Connection', 'close'];

/** Decides how a call is answered whose body was not read. */
export function decideUnreadAnswer(
  protocol: CallProtocol,
  head: CallHead,
  unread: UnreadBody,
): UnreadAnswer {
  switch (unread.kind) {
    case 'memoryFull':
      return refuseForMemory(protocol, head);
    case 'tooLarge':
      return {
        kind: 'answered',
        answer: {status: 413, headers: CLOSED, body: 'the body is too large'},
      };
    case 'tooSlow':
      return {
        kind: 'answered',
        answer: {status: 408, headers: CLOSED, body: 'the body is late'},
      };
    case 'tooFragmented':
      return {
        kind: 'answered',
        answer: {status: 400, headers: CLOSED, body: 'too many small chunks'},
      };
    default:
      return assertNever(unread, 'decideUnreadAnswer');
  }
}

function refuseForMemory(protocol: CallProtocol, head: CallHead): UnreadAnswer {
  const parsed = protocol.readCall(head);
  if (parsed.kind === 'malformed') {
    const answer = protocol.formatMalformed(parsed.detail);
    return {kind: 'answered', answer};
  }
  const reason = {kind: 'memoryFull'} as const;
  const refusal = refuseUnadmitted(
    parsed.attributes,
    reason,
    MEMORY_RETRY_AFTER_MS,
  );
  return {kind: 'refused', refusal};
}
