import {createHash} from 'node:crypto';

/** Headers by which a caller asks a stand-in for a certain answer. */
export const WORK_HEADER = 'stand-in-work-ms';
export const ANSWER_BYTES_HEADER = 'stand-in-answer-bytes';
export const EVENTS_HEADER = 'stand-in-events';
export const BODY_DIGEST_HEADER = 'stand-in-body-digest';

/** Time between two events of a stream, in milliseconds. */
export const SITE_EVENT_INTERVAL_MS = 50;

/** Creates the body of a request or an answer: its owner, then filler. */
export function createContent(owner: string, bytes: number): Buffer {
  const start = Buffer.from(`${owner} ${bytes}\n`);
  const fillerBytes = Math.max(0, bytes - start.length);
  return Buffer.concat([start, Buffer.alloc(fillerBytes, `${owner} `)]);
}

/** Computes the digest by which an endpoint recognises a whole body. */
export function digestContent(content: Buffer): string {
  return createHash('sha1').update(content).digest('hex');
}

/** Formats the mark of an answer: its request, its endpoint and its size. */
export function formatSeal(
  attempt: string,
  endpoint: string,
  size: number,
): string {
  return `${attempt}/${endpoint}/${size}`;
}

/** Formats one event of a stream; ids count from 1. */
export function formatEvent(attempt: string, id: number, of: number): string {
  return `id: ${id}\ndata: ${attempt} ${id}/${of}\n\n`;
}

/** An answer as its caller received it. */
export interface ReceivedAnswer {
  readonly attempt: string;
  readonly seal: string | undefined;
  readonly echoedAttempt: string | undefined;
  readonly body: Buffer;
}

/** Finds what is wrong with a successful plain answer. */
export function findContentDefect(answer: ReceivedAnswer): string | undefined {
  const {attempt, seal, echoedAttempt, body} = answer;
  const [owner, endpoint, size] = (seal ?? '').split('/');
  if (owner !== attempt || echoedAttempt !== attempt) {
    return `belongs to ${seal ?? 'no endpoint'}, echo ${echoedAttempt}`;
  }
  const expected = createContent(`${attempt}/${endpoint}`, Number(size));
  return expected.equals(body)
    ? undefined
    : `${body.length} bytes that are not the ${size} of ${endpoint}`;
}

/** Finds what is wrong with a stream that ended as complete. */
export function findStreamDefect(answer: ReceivedAnswer): string | undefined {
  const {attempt, seal, echoedAttempt, body} = answer;
  const [owner, , events] = (seal ?? '').split('/');
  if (owner !== attempt || echoedAttempt !== attempt) {
    return `belongs to ${seal ?? 'no endpoint'}, echo ${echoedAttempt}`;
  }
  const count = Number(events);
  const expected = Array.from({length: count}, (_, index) =>
    formatEvent(attempt, index + 1, count),
  ).join('');
  const text = body.toString('utf8');
  return text === expected
    ? undefined
    : `events ${listEventIds(text)} instead of 1 to ${count}`;
}

function listEventIds(text: string): string {
  return Array.from(text.matchAll(/^id: (\d+)$/gm), match => match[1]).join();
}
