import t from 'tap';

import {
  createRawEndpoint,
  createRelayFixture,
  describeEnd,
  formatAnswer,
} from './relayFixture.js';
import type {CallerAnswer} from './relayFixture.js';

const EVENT_STREAM = 'content-type: text/event-stream\r\n';
const CHUNKED = 'transfer-encoding: chunked\r\n\r\n';

function formatChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function formatRefusal(call: string): string {
  return `HTTP/1.1 503 Full\r\nx-call: ${call}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n`;
}

t.test(
  'a refusal of an earlier call is not taken for one of the next call',
  async t => {
    const fixture = await createRelayFixture();
    const endpoint = await createRawEndpoint(socket =>
      socket.write(formatRefusal('q1')),
    );
    const ends: string[] = [];
    for (const id of ['q1', 'q2']) {
      const received = fixture.next('requestReceived');
      const answered = fixture.call(id);
      const {attributes} = await received;
      const ended = fixture.next('streamEnded');
      fixture.dispatch(attributes, endpoint.url);
      ends.push(describeEnd((await ended).end));
      fixture.fail(attributes);
      await answered;
    }
    t.equal(endpoint.connections, 1, 'the connection is kept');
    t.same(ends, ['notExecuted', 'cut']);
    endpoint.close();
    await fixture.close();
  },
);

/** Answers of the endpoint that shall continue a stream that broke off. */
const rows: readonly {
  readonly name: string;
  readonly answer: string;
  readonly end: string;
}[] = [
  {
    name: 'a failure',
    answer:
      'HTTP/1.1 500 No\r\nx-call: q1\r\nx-proof: p\r\ncontent-length: 5\r\n\r\nerror',
    end: 'failed 500',
  },
  {name: 'a refusal', answer: formatRefusal('q1'), end: 'notExecuted'},
  {
    name: 'a caller error',
    answer:
      'HTTP/1.1 404 No\r\nx-call: q1\r\nx-proof: p\r\ncontent-length: 5\r\n\r\nerror',
    end: 'failed 404',
  },
  {
    name: 'an empty success',
    answer: 'HTTP/1.1 204 No\r\nx-call: q1\r\nx-proof: p\r\n\r\n',
    end: 'failed 204',
  },
  {
    name: 'a partial answer',
    answer: `HTTP/1.1 206 P\r\nx-call: q1\r\nx-proof: p\r\n${EVENT_STREAM}content-length: 5\r\n\r\nerror`,
    end: 'failed 206',
  },
  {
    name: 'a success of another content type',
    answer: formatAnswer(
      'q1',
      'content-type: application/json\r\ncontent-length: 17\r\n\r\n{"error":"full"}\n',
    ),
    end: 'failed 200',
  },
];

/** Runs a call whose stream breaks off and continues with another answer. */
async function runBrokenStream(
  continuation: string,
): Promise<{readonly end: string; readonly answer: CallerAnswer | Error}> {
  const fixture = await createRelayFixture();
  const first = await createRawEndpoint(socket => {
    const head = formatAnswer('q1', EVENT_STREAM + CHUNKED);
    socket.write(head + formatChunk('id: 1\ndata: a\n\n'));
    setTimeout(() => socket.resetAndDestroy(), 30);
  });
  const second = await createRawEndpoint(socket => socket.write(continuation));
  const received = fixture.next('requestReceived');
  const answered = fixture.call('q1');
  const {attributes} = await received;
  const broken = fixture.next('streamEnded');
  fixture.dispatch(attributes, first.url, {isResumable: true});
  await broken;
  const ended = fixture.next('streamEnded');
  fixture.dispatch(attributes, second.url, {attempt: 2, isResumable: true});
  const end = describeEnd((await ended).end);
  fixture.fail(attributes);
  const answer = await answered;
  first.close();
  second.close();
  await fixture.close();
  return {end, answer};
}

for (const {name, answer: continuation, end: expected} of rows) {
  t.test(`${name} does not continue a stream that has begun`, async t => {
    const {end, answer} = await runBrokenStream(continuation);
    t.equal(end, expected);
    t.match(answer, {
      status: 200,
      body: 'id: 1\ndata: a\n\n',
      isWhole: false,
    });
  });
}

t.test('a resumed stream has no content length', async t => {
  const fixture = await createRelayFixture();
  const endpoint = await createRawEndpoint(socket => {
    const event = 'id: 1\ndata: a\n\n';
    const length = `content-length: ${event.length + 9}\r\n\r\n`;
    socket.end(formatAnswer('q1', EVENT_STREAM + length + event));
  });
  const rest = await createRawEndpoint(socket => {
    const event = formatChunk('id: 2\ndata: b and more\n\n');
    const head = formatAnswer('q1', EVENT_STREAM + CHUNKED);
    socket.write(`${head}${event}0\r\n\r\n`);
  });
  const received = fixture.next('requestReceived');
  const answered = fixture.call('q1');
  const {attributes} = await received;
  const broken = fixture.next('streamEnded');
  fixture.dispatch(attributes, endpoint.url, {isResumable: true});
  await broken;
  fixture.dispatch(attributes, rest.url, {attempt: 2, isResumable: true});
  t.match(await answered, {
    body: 'id: 1\ndata: a\n\nid: 2\ndata: b and more\n\n',
    isWhole: true,
  });
  endpoint.close();
  rest.close();
  await fixture.close();
});

// Guards against a crash that nobody notices, as its answer had failed before.
t.test(
  'an endpoint that ends after an answer that fails has broken',
  async t => {
    const fixture = await createRelayFixture();
    const endpoint = await createRawEndpoint(socket => {
      socket.write(
        'HTTP/1.1 200 OK\r\nx-call: q1\r\ncontent-length: 9\r\n\r\nab',
      );
      setImmediate(() => socket.resetAndDestroy());
    });
    const received = fixture.next('requestReceived');
    const answered = fixture.call('q1');
    const {attributes} = await received;
    const ended = fixture.next('streamEnded');
    const broken = fixture.next('failedAnswerBroken');
    const {id} = fixture.dispatch(attributes, endpoint.url);
    t.equal(describeEnd((await ended).end), 'failed 200');
    t.equal((await broken).dispatch.id, id);
    fixture.fail(attributes);
    await answered;
    endpoint.close();
    await fixture.close();
  },
);
