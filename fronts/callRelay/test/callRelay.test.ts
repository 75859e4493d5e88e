import type {Socket} from 'node:net';

import t from 'tap';

import {
  createRawEndpoint,
  createRelayFixture,
  describeEnd,
  formatAnswer,
} from './relayFixture.js';
import type {CallerAnswer} from './relayFixture.js';

/** Sends the call `q1` to an endpoint; returns its stream end and answer. */
async function runCall(
  answer: (socket: Socket, count: number) => void,
  isRetryable = false,
): Promise<{readonly end: string; readonly answer: CallerAnswer | Error}> {
  const fixture = await createRelayFixture();
  const endpoint = await createRawEndpoint(answer);
  const received = fixture.next('requestReceived');
  const answered = fixture.call('q1');
  const {attributes} = await received;
  const ended = fixture.next('streamEnded');
  fixture.dispatch(attributes, endpoint.url, {isRetryable});
  const {end} = await ended;
  if (end.kind !== 'complete') {
    fixture.fail(attributes);
  }
  const result = {end: describeEnd(end), answer: await answered};
  endpoint.close();
  await fixture.close();
  return result;
}

const EVENT_STREAM = 'content-type: text/event-stream\r\n';
const CHUNKED = 'transfer-encoding: chunked\r\n\r\n';

const rows: readonly {
  readonly name: string;
  readonly answer: (socket: Socket) => void;
  readonly isRetryable?: boolean;
  readonly end: string;
  readonly status: number | 'none';
  readonly body?: string;
  readonly isWhole?: boolean;
}[] = [
  {
    name: 'a complete answer is forwarded',
    answer: socket =>
      socket.write(formatAnswer('q1', 'content-length: 2\r\n\r\nok')),
    end: 'complete',
    status: 200,
    body: 'ok',
    isWhole: true,
  },
  {
    name: 'an answer without a length is complete when its connection ends',
    answer: socket => socket.end(formatAnswer('q1', '\r\nok')),
    end: 'complete',
    status: 200,
    body: 'ok',
    isWhole: true,
  },
  {
    name: 'an answer without a length that is reset is not whole',
    answer: socket => {
      socket.write(formatAnswer('q1', '\r\nok'));
      setTimeout(() => socket.resetAndDestroy(), 30);
    },
    end: 'cut',
    status: 200,
    isWhole: false,
  },
  {
    name: 'a stream without a length is complete after a whole event',
    answer: socket =>
      socket.end(formatAnswer('q1', `${EVENT_STREAM}\r\nid: 1\ndata: a\n\n`)),
    end: 'complete',
    status: 200,
    body: 'id: 1\ndata: a\n\n',
    isWhole: true,
  },
  {
    name: 'a stream without a length that ends inside an event is not whole',
    answer: socket =>
      socket.end(
        formatAnswer('q1', `${EVENT_STREAM}\r\nid: 1\ndata: a\n\nid: 2\nda`),
      ),
    end: 'cut',
    status: 200,
    isWhole: false,
  },
  {
    name: 'a chunked stream that ends inside an event is not whole',
    answer: socket =>
      socket.write(
        formatAnswer('q1', `${EVENT_STREAM}${CHUNKED}5\r\nid: 1\r\n0\r\n\r\n`),
      ),
    end: 'cut',
    status: 200,
    isWhole: false,
  },
  ...[
    'HTTP/1.1 200 OK\r\n',
    'HTTP/1.1 200 OK\r\nx-call: q1\r\nx-proof: p\r\n',
    'HTTP/1.1 200 OK\r\nx-call: q1\r\nx-proof: p\r\nconnection: close\r\ncontent-le',
    'HTTP/1.1 200 OK\r\nx-call: q1\r\nx-proof: p\r\ncontent-length: 0\r\n',
    'HTTP/1.1 200 OK\r\nx-call: q1\r\nx-proof: p\r\ntransfer-encoding: chunked\r\n\r',
  ].map((head, index) => ({
    name: `an answer that stops in the middle of its head is a failure (${index})`,
    answer: (socket: Socket) => void socket.end(head),
    end: 'cut',
    status: 502,
  })),
  {
    name: 'a body shorter than its length ends the stream as cut',
    answer: socket =>
      socket.end(formatAnswer('q1', 'content-length: 9\r\n\r\nok')),
    end: 'cut',
    status: 200,
    isWhole: false,
  },
  {
    name: 'an answer to another call is not forwarded',
    answer: socket =>
      socket.write(formatAnswer('q0', 'content-length: 2\r\n\r\nok')),
    end: 'cut',
    status: 502,
  },
  {
    name: 'a success without the seal of the endpoint is a failure',
    answer: socket =>
      socket.write(
        'HTTP/1.1 200 OK\r\nx-call: q1\r\ncontent-length: 2\r\n\r\nok',
      ),
    end: 'failed 200',
    status: 502,
  },
  {
    name: 'bytes that are not HTTP end the stream as cut',
    answer: socket => socket.write('garbage\r\n\r\n'),
    end: 'cut',
    status: 502,
  },
  {
    name: 'a promise not to run the call is distinguished from a failure',
    answer: socket =>
      socket.write(
        'HTTP/1.1 503 Full\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n',
      ),
    end: 'notExecuted',
    status: 502,
  },
  {
    name: 'a 503 without the promise is a failure',
    answer: socket =>
      socket.write('HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n'),
    end: 'failed 503',
    status: 502,
  },
  {
    name: "an endpoint's failure is forwarded unchanged",
    answer: socket =>
      socket.write(
        'HTTP/1.1 500 No\r\nx-call: q1\r\ncontent-length: 2\r\n\r\nno',
      ),
    end: 'complete',
    status: 500,
    body: 'no',
  },
  {
    name: 'a failure is withheld when another endpoint may be tried',
    answer: socket =>
      socket.write(
        'HTTP/1.1 500 No\r\nx-call: q1\r\ncontent-length: 2\r\n\r\nno',
      ),
    isRetryable: true,
    end: 'failed 500',
    status: 502,
  },
  {
    name: 'a connection closed without an answer ends the stream as cut',
    answer: socket => socket.end(),
    end: 'cut',
    status: 502,
  },
];

for (const row of rows) {
  t.test(row.name, async t => {
    const {end, answer} = await runCall(row.answer, row.isRetryable);
    t.equal(end, row.end);
    if (answer instanceof Error) {
      t.equal(row.status, 'none', answer.message);
      return;
    }
    t.equal(answer.status, row.status);
    if (row.body !== undefined) {
      t.equal(answer.body, row.body);
    }
    if (row.isWhole !== undefined) {
      t.equal(answer.isWhole, row.isWhole);
    }
  });
}

t.test('a refused connection ends the stream as not sent', async t => {
  const fixture = await createRelayFixture();
  const endpoint = await createRawEndpoint(() => undefined);
  endpoint.close();
  const received = fixture.next('requestReceived');
  const answered = fixture.call('q1');
  const {attributes} = await received;
  const ended = fixture.next('streamEnded');
  fixture.dispatch(attributes, endpoint.url);
  t.equal(describeEnd((await ended).end), 'notSent');
  fixture.fail(attributes);
  await answered;
  await fixture.close();
});

t.test(
  'a surplus answer is not taken for the answer to the next call',
  async t => {
    const fixture = await createRelayFixture();
    const endpoint = await createRawEndpoint((socket, count) => {
      const answer = formatAnswer(`q${count}`, 'content-length: 2\r\n\r\nok');
      socket.write(count === 1 ? answer + answer : answer);
    });
    for (const id of ['q1', 'q2']) {
      const received = fixture.next('requestReceived');
      const answered = fixture.call(id);
      const {attributes} = await received;
      fixture.dispatch(attributes, endpoint.url);
      t.match(await answered, {
        status: 200,
        body: 'ok',
        headers: {'x-call': id},
      });
    }
    endpoint.close();
    await fixture.close();
  },
);

t.test('cancelling a stream closes the connection to the endpoint', async t => {
  const fixture = await createRelayFixture();
  let onClosed: () => void = () => undefined;
  const closed = new Promise<void>(resolve => {
    onClosed = resolve;
  });
  const endpoint = await createRawEndpoint(socket => {
    socket.once('close', onClosed);
    socket.write(formatAnswer('q1', `${CHUNKED}2\r\nok\r\n`));
  });
  const received = fixture.next('requestReceived');
  void fixture.call('q1');
  const {attributes} = await received;
  const started = fixture.next('streamStarted');
  const dispatch = fixture.dispatch(attributes, endpoint.url);
  await started;
  fixture.relay.perform({kind: 'cancelStream', dispatch});
  await closed;
  t.pass('the connection to the endpoint is closed');
  fixture.fail(attributes);
  endpoint.close();
  await fixture.close();
});

t.test('a resumed stream continues after the last complete event', async t => {
  const fixture = await createRelayFixture();
  const toChunk = (text: string): string =>
    `${text.length.toString(16)}\r\n${text}\r\n`;
  const first = await createRawEndpoint(socket => {
    const events = toChunk('id: 1\ndata: a\n\n') + toChunk('id: 2\nda');
    socket.write(formatAnswer('q1', CHUNKED + events));
    setTimeout(() => socket.resetAndDestroy(), 30);
  });
  const second = await createRawEndpoint(socket => {
    const events = toChunk('id: 2\ndata: b\n\n');
    socket.write(formatAnswer('q1', `${CHUNKED}${events}0\r\n\r\n`));
  });
  const received = fixture.next('requestReceived');
  const answered = fixture.call('q1');
  const {attributes} = await received;
  const firstEnded = fixture.next('streamEnded');
  fixture.dispatch(attributes, first.url, {isResumable: true});
  t.equal(describeEnd((await firstEnded).end), 'cut');
  fixture.dispatch(attributes, second.url, {attempt: 2, isResumable: true});
  const answer = await answered;
  t.match(answer, {
    status: 200,
    body: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
    isWhole: true,
  });
  t.match(second.heads[0]!, /last-event-id: 1\r\n/i);
  first.close();
  second.close();
  await fixture.close();
});

t.test('a call keeps its path and idle connections are reused', async t => {
  const fixture = await createRelayFixture();
  const endpoint = await createRawEndpoint((socket, count) =>
    socket.write(formatAnswer(`q${count}`, 'content-length: 2\r\n\r\nok')),
  );
  for (const id of ['q1', 'q2']) {
    const received = fixture.next('requestReceived');
    const answered = fixture.call(id);
    fixture.dispatch((await received).attributes, endpoint.url);
    await answered;
  }
  t.match(endpoint.heads[0]!, /^GET \/x\/1\?q=2 HTTP\/1.1\r\n/);
  t.equal(endpoint.connections, 1);
  endpoint.close();
  await fixture.close();
});
