import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import t from 'tap';

import {
  createRawEndpoint,
  createRelayFixture,
  describeEnd,
  formatAnswer,
} from './relayFixture.js';

const ANSWER_DELAY_MS = 60;
const COPY_DELAY_MS = 10;
/** By then the connection of the first sending is free again. */
const RETRY_DELAY_MS = 30;
const BODY = 'content-length: 5\r\n\r\nwhole';
const EVENT = 'id: 1\ndata: a\n\n';
const STREAM = `content-type: text/event-stream\r\ncontent-length: ${EVENT.length}\r\n\r\n${EVENT}`;

/** The answers to the first sending of a call, which the endpoint repeats. */
const FIRST_ANSWERS = [
  {
    name: 'a refusal',
    bytes:
      'HTTP/1.1 503 Full\r\nx-call: q1\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n',
  },
  {
    name: 'a failure',
    bytes:
      'HTTP/1.1 500 No\r\nx-call: q1\r\nx-proof: p\r\ncontent-length: 5\r\n\r\nerror',
  },
];
/** When the copy is written, relative to the second sending of the call. */
const MOMENTS = ['before', 'during', 'after'] as const;
const SECOND_ANSWERS = [
  {name: 'an answer', bytes: formatAnswer('q1', BODY), body: 'whole'},
  {name: 'a stream', bytes: formatAnswer('q1', STREAM), body: EVENT},
];

/** Sends a call twice to an endpoint that repeats its first answer. */
async function runRepeated(
  first: string,
  second: string,
  moment: (typeof MOMENTS)[number],
): Promise<{readonly end: string; readonly body: string | undefined}> {
  const fixture = await createRelayFixture();
  let firstSocket: Socket | undefined;
  const copy = (): boolean | undefined => firstSocket?.write(first);
  const endpoint = await createRawEndpoint((socket, count) => {
    if (count === 1) {
      firstSocket = socket;
      socket.write(first);
      if (moment === 'before') {
        setTimeout(copy, COPY_DELAY_MS);
      }
      return;
    }
    if (moment === 'during') {
      copy();
    }
    if (moment === 'after') {
      setTimeout(copy, COPY_DELAY_MS);
    }
    setTimeout(() => socket.write(second), ANSWER_DELAY_MS);
  });
  const received = fixture.next('requestReceived');
  const answered = fixture.call('q1');
  const {attributes} = await received;
  let ended = fixture.next('streamEnded');
  fixture.dispatch(attributes, endpoint.url, {isRetryable: true});
  await ended;
  await sleep(RETRY_DELAY_MS);
  ended = fixture.next('streamEnded');
  fixture.dispatch(attributes, endpoint.url, {attempt: 2});
  const end = describeEnd((await ended).end);
  fixture.fail(attributes);
  const answer = await answered;
  endpoint.close();
  await fixture.close();
  return {end, body: answer instanceof Error ? undefined : answer.body};
}

// Guards against a copy of an earlier answer that counts for a later sending.
for (const first of FIRST_ANSWERS) {
  for (const second of SECOND_ANSWERS) {
    for (const moment of MOMENTS) {
      t.test(
        `${first.name} repeated ${moment} the next sending of its call does not end ${second.name}`,
        async t => {
          const result = await runRepeated(first.bytes, second.bytes, moment);
          t.same(result, {end: 'complete', body: second.body});
        },
      );
    }
  }
}
