import {readBoundedJson} from '@gentianshunt/runtime';
import {request} from 'undici';

import {
  EntriesUnreachableError,
  OperatorRequestError,
} from './operatorClientErrors.js';

/** Timeout for the answer of an entry, in milliseconds. */
export const ENTRY_TIMEOUT_MS = 15_000;
/** Longest time until an answer is complete, in milliseconds. */
const ANSWER_TIMEOUT_MS = 60_000;
/** Largest answer of an entry; a query may return a large table. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/** How to reach the entries of a deployment. */
export interface EntryAccess {
  /** Base URLs of entries, tried in turn. */
  readonly entries: readonly string[];
  /** The operator's key; `null` if the entries need no key. */
  readonly key: string | null;
  /** Operator name, used if the entries need no key. */
  readonly operator: string;
}

/** A request to an entry: a POST if it has a body, otherwise a GET. */
export interface EntryRequest {
  readonly path: string;
  readonly body?: unknown;
}

/** The answer of an entry. */
export interface EntryAnswer {
  readonly entry: string;
  readonly status: number;
  readonly body: unknown;
}

const UNAUTHORIZED_STATUS = 401;
const MALFORMED_KIND = 'malformed';

/** Sends a request to one entry. */
export async function sendToEntry(
  access: EntryAccess,
  entry: string,
  message: EntryRequest,
): Promise<EntryAnswer> {
  const reply = await request(`${entry}${message.path}`, {
    method: message.body === undefined ? 'GET' : 'POST',
    headers: {
      'content-type': 'application/json',
      'x-operator': access.operator,
      ...(access.key === null ? {} : {authorization: `Bearer ${access.key}`}),
    },
    ...(message.body === undefined ? {} : {body: JSON.stringify(message.body)}),
    headersTimeout: ENTRY_TIMEOUT_MS,
    bodyTimeout: ENTRY_TIMEOUT_MS,
    signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
  });
  const body = (await readBoundedJson(reply.body, {
    step: 'sendToEntry',
    peer: entry,
    maxBytes: MAX_ANSWER_BYTES,
  })) as {readonly kind?: string; readonly message?: string};
  const {statusCode: status} = reply;
  if (status === UNAUTHORIZED_STATUS || body.kind === MALFORMED_KIND) {
    throw new OperatorRequestError(entry, status, body.message ?? '');
  }
  return {entry, status, body};
}

/**
 * Sends a request to the entries in turn until `isAnswer` accepts an answer.
 * Otherwise returns the last answer, or throws if no entry answered.
 */
export async function sendToAny(
  access: EntryAccess,
  message: EntryRequest,
  isAnswer: (answer: EntryAnswer) => boolean,
): Promise<EntryAnswer> {
  let failure: unknown;
  let last: EntryAnswer | undefined;
  for (const entry of access.entries) {
    try {
      last = await sendToEntry(access, entry, message);
      if (isAnswer(last)) {
        return last;
      }
    } catch (error) {
      if (error instanceof OperatorRequestError) {
        throw error;
      }
      failure = error;
    }
  }
  if (last === undefined) {
    throw new EntriesUnreachableError(access.entries, failure);
  }
  return last;
}
