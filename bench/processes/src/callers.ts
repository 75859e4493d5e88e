import {setTimeout as delay} from 'node:timers/promises';

import {request} from 'undici';
import type {Dispatcher} from 'undici';

/** Options that all calls share. */
export interface CallOptions {
  /** Base URL of the entry. */
  readonly url: string;
  /** Disconnects the caller when it aborts. */
  readonly signal?: AbortSignal;
}

/** How a call ended, as its caller sees it. */
export type CallOutcome =
  /** The caller received the complete answer. */
  | {readonly kind: 'whole'; readonly text: string}
  | {
      readonly kind: 'refused';
      readonly status: number;
      readonly problem: Problem;
    }
  /** The connection failed, or the stream ended without its end mark. */
  | {readonly kind: 'cut'; readonly text: string}
  /** The caller received no response headers. */
  | {readonly kind: 'unreachable'};

/** The fields of a problem document that callers act on. */
export interface Problem {
  readonly type: string;
  readonly notRun: boolean;
  /** When the caller may try again; `null` if a retry cannot succeed. */
  readonly retryAfterMs: number | null;
  readonly addresses: readonly {readonly url: string}[];
}

const STREAM_END_MARK = 'data: [DONE]\n\n';

/** Requests a streamed chat completion of the given number of tokens. */
export function callChat(
  options: CallOptions & {readonly tokens: number},
): Promise<CallOutcome> {
  const body = {
    model: 'drafts',
    messages: [{role: 'user', content: 'a short question'}],
    max_tokens: options.tokens,
    stream: true,
  };
  return postCall(options, '/v1/chat/completions', body, {'x-kind': 'draft'});
}

/** Calls the plain service with an idempotency key. */
export function callService(
  options: CallOptions & {readonly key: string; readonly content?: string},
): Promise<CallOutcome> {
  const body = {certificate: options.content ?? options.key};
  const headers = {'x-kind': 'issue-number', 'idempotency-key': options.key};
  return postCall(options, '/v1/services/registry/numbers', body, headers);
}

/** Calls the plain service until an entry admits the call or time is up. */
export async function retryService(
  options: CallOptions & {readonly key: string},
  timeoutMs: number,
): Promise<CallOutcome> {
  const deadline = performance.now() + timeoutMs;
  for (;;) {
    const outcome = await callService(options);
    const retryAfterMs =
      outcome.kind === 'refused' && outcome.problem.notRun
        ? outcome.problem.retryAfterMs
        : null;
    if (retryAfterMs === null || performance.now() > deadline) {
      return outcome;
    }
    await delay(retryAfterMs);
  }
}

async function postCall(
  {url, signal}: CallOptions,
  path: string,
  body: unknown,
  headers: Readonly<Record<string, string>>,
): Promise<CallOutcome> {
  let reply: Dispatcher.ResponseData;
  try {
    reply = await request(`${url}${path}`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        'x-organisation': 'north-lab',
        ...headers,
      },
      body: JSON.stringify(body),
      ...(signal === undefined ? {} : {signal}),
    });
  } catch {
    return {kind: 'unreachable'};
  }
  return readOutcome(reply);
}

async function readOutcome(
  reply: Dispatcher.ResponseData,
): Promise<CallOutcome> {
  const contentType = String(reply.headers['content-type']);
  const isStream = contentType.startsWith('text/event-stream');
  let text = '';
  try {
    for await (const chunk of reply.body) {
      text += String(chunk);
    }
  } catch {
    return {kind: 'cut', text};
  }
  if (contentType.startsWith('application/problem+json')) {
    const problem = JSON.parse(text) as Problem;
    return {kind: 'refused', status: reply.statusCode, problem};
  }
  return isStream && !text.endsWith(STREAM_END_MARK)
    ? {kind: 'cut', text}
    : {kind: 'whole', text};
}

/**
 * Counts the tokens of a streamed answer; returns -1 if a token is missing,
 * repeated or out of order.
 */
export function countTokens(text: string): number {
  const tokens = [...text.matchAll(/"content":"t(\d+) "/g)].map(match =>
    Number(match[1]),
  );
  return tokens.every((token, index) => token === index) ? tokens.length : -1;
}

/** Gets a URL and parses the JSON of its response. */
export async function readJson<Value>(url: string): Promise<Value> {
  const reply = await request(url);
  return (await reply.body.json()) as Value;
}

/** Posts an empty object to a stand-in's control route. */
export async function postToStandIn(url: string): Promise<void> {
  const headers = {'content-type': 'application/json'};
  const reply = await request(url, {method: 'POST', headers, body: '{}'});
  await reply.body.dump();
}
