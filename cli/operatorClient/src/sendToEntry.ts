import {request} from 'undici';

import {
  EntriesUnreachableError,
  OperatorRequestError,
} from './operatorClientErrors.js';

/** Longest wait for the answer of an entry, in milliseconds. */
export const ENTRY_TIMEOUT_MS = 15_000;

/** How the entries of a deployment are reached. */
export interface EntryAccess {
  /** Base URLs of entries, tried in turn. */
  readonly entries: readonly string[];
  /** The operator's key; `null` when access is insecure. */
  readonly key: string | null;
  /** Name used when access is insecure. */
  readonly operator: string;
}

/** A request to an entry; without a body it is read only. */
export interface EntryRequest {
  readonly path: string;
  readonly body?: unknown;
}

/** An answer of an entry. */
export interface EntryAnswer {
  readonly entry: string;
  readonly status: number;
  readonly body: unknown;
}

const UNAUTHORIZED = 401;
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
  });
  const body = (await reply.body.json()) as {
    readonly kind?: string;
    readonly message?: string;
  };
  const {statusCode: status} = reply;
  if (status === UNAUTHORIZED || body.kind === MALFORMED_KIND) {
    throw new OperatorRequestError(entry, status, body.message ?? '');
  }
  return {entry, status, body};
}

/** Sends a request to the entries in turn until one gives an answer. */
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
