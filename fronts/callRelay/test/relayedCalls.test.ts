import {createServer} from 'node:http';
import type {IncomingMessage, RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';

import type {Relay} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import t from 'tap';
import type {Test} from 'tap';

import {createRelayFixture} from './relayFixture.js';
import type {RelayFixture} from './relayFixture.js';

const HOST = '127.0.0.1';
const BODY = Buffer.from('{"a":1}');
const ADMITTED = {
  tier: toIdentifier<never>('gold'),
  rank: 1,
  value: 1,
  arrivedAt: 0,
};

/** Starts another entry that answers as a test says. */
async function startEntry(t: Test, listener: RequestListener) {
  const server = createServer(listener);
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

async function readBody(request: IncomingMessage): Promise<string> {
  let body = '';
  for await (const chunk of request) {
    body += String(chunk);
  }
  return body;
}

function createRelay(request: string, port: number): Relay {
  return {
    id: toIdentifier(`${request}.r1`),
    to: toIdentifier('entry-1'),
    address: {host: HOST, port},
  };
}

/** Sends a call and passes it on; returns what its caller and the entry got. */
async function relayCall(fixture: RelayFixture, port: number) {
  const answer = fixture.call('c1', BODY, {authorization: 'Bearer key-1'});
  const {attributes} = await fixture.next('requestReceived');
  const relay = createRelay('c1', port);
  const ended = fixture.next('relayEnded');
  const request = {...attributes, ...ADMITTED};
  fixture.relay.perform({kind: 'relayCall', request, relay});
  return {answer, ended, relay};
}

t.test('a call that is passed on reaches the other entry changed', async t => {
  const fixture = await createRelayFixture();
  t.teardown(fixture.close);
  let seen: unknown;
  const port = await startEntry(t, async (request, response) => {
    const {method, url, headers} = request;
    seen = {method, url, headers, body: await readBody(request)};
    response.writeHead(201, {'x-call': 'c1', 'x-seal': 's'});
    response.write('first ');
    response.end('second');
  });
  const {answer, ended} = await relayCall(fixture, port);
  t.match(await answer, {
    status: 201,
    headers: {'x-call': 'c1', 'x-seal': 's'},
    body: 'first second',
    isWhole: true,
  });
  t.match(seen, {
    headers: {authorization: 'Bearer key-1', 'x-call': 'c1'},
    body: BODY.toString(),
  });
  t.match(await ended, {end: {kind: 'complete'}});
});

t.test('a refusal of the other entry does not reach the caller', async t => {
  const fixture = await createRelayFixture();
  t.teardown(fixture.close);
  const port = await startEntry(t, (request, response) => {
    request.resume();
    response.writeHead(503, {'retry-after': '0.250'});
    response.end('{"notRun":true}');
  });
  const {answer} = await relayCall(fixture, port);
  t.match(await answer, {status: 503, headers: {'retry-after': '0.250'}});
});

t.test('a call is taken for sent though the other entry is gone', async t => {
  const fixture = await createRelayFixture();
  t.teardown(fixture.close);
  const {ended} = await relayCall(fixture, 1);
  t.match(await ended, {end: {kind: 'notSent'}});
});

t.test('an answer that the other entry breaks off looks complete', async t => {
  const fixture = await createRelayFixture();
  t.teardown(fixture.close);
  const port = await startEntry(t, (request, response) => {
    request.resume();
    response.writeHead(200, {'content-length': '100'});
    response.write('part');
    setTimeout(() => response.destroy(), 20);
  });
  const {answer, ended} = await relayCall(fixture, port);
  t.match(await ended, {end: {kind: 'cut', hasBegun: true}});
  fixture.relay.perform({
    kind: 'refuseCaller',
    refusal: {
      request: toIdentifier('c1'),
      reason: {kind: 'answerCut', detail: 'broken'},
      retryAfterMs: null,
      notRun: false,
    },
  });
  const result = await answer;
  t.ok(result instanceof Error || !result.isWhole);
});

t.test(
  'an answer that has begun is continued by the other entry from its start',
  async t => {
    const fixture = await createRelayFixture();
    t.teardown(fixture.close);
    let isAsked = false;
    const port = await startEntry(t, (_request, response) => {
      isAsked = true;
      response.end('second');
    });
    const endpoint = await startEntry(t, (_request, response) => {
      response.writeHead(200, {'x-call': 'c1', 'x-proof': 's'});
      response.write('first');
    });
    const answer = fixture.call('c1', BODY);
    const {attributes} = await fixture.next('requestReceived');
    const started = fixture.next('streamStarted');
    fixture.dispatch(attributes, `http://${HOST}:${endpoint}`);
    await started;
    const ended = fixture.next('relayEnded');
    const relay = createRelay('c1', port);
    const request = {...attributes, ...ADMITTED};
    fixture.relay.perform({kind: 'relayCall', request, relay});
    t.match(await ended, {end: {kind: 'cut', hasBegun: true}});
    t.notOk(isAsked);
    fixture.fail(attributes);
    const result = await answer;
    t.ok(result instanceof Error || !result.isWhole);
  },
);

t.test(
  'a caller that leaves does not end the call at the other entry',
  async t => {
    const fixture = await createRelayFixture();
    t.teardown(fixture.close);
    let close: () => void = () => undefined;
    const closed = new Promise<void>(resolve => {
      close = resolve;
    });
    let arrive: () => void = () => undefined;
    const arrived = new Promise<void>(resolve => {
      arrive = resolve;
    });
    const port = await startEntry(t, (request, response) => {
      request.resume();
      response.once('close', close);
      arrive();
    });
    const {relay} = await relayCall(fixture, port);
    await arrived;
    fixture.relay.perform({kind: 'cancelRelay', relay});
    await closed;
    t.pass('the other entry has seen it');
  },
);
