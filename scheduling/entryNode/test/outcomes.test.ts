import type {RefusalReason, StreamEnd} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {DispatchId, RequestId} from '@gentianshunt/identifiers';
import type {ClaimAnswer} from '@gentianshunt/messages';
import t from 'tap';

import {
  createClaimKey,
  createEntryFixture,
  createFacts,
} from './entryFixture.js';
import type {EntryFixture} from './entryFixture.js';

const REQUEST = toIdentifier<RequestId>('q1');
const DISPATCH = toIdentifier<DispatchId>('q1.d');
const STORED = {
  status: 200,
  contentType: 'text/plain',
  body: Buffer.from('7'),
};

/** Creates an entry with a keyed request whose claim is open. */
function createClaiming(): EntryFixture {
  const fixture = createEntryFixture();
  fixture.post({kind: 'requestReceived', facts: createFacts('q1', true)});
  return fixture;
}

/** Creates an entry with a keyed request that runs. */
function createRunning(): EntryFixture {
  const fixture = createClaiming();
  fixture.answerClaim('q1', {kind: 'granted'});
  return fixture;
}

function endStream(fixture: EntryFixture, end: StreamEnd): void {
  const stored = end.kind === 'complete' ? STORED : null;
  fixture.post({kind: 'streamEnded', dispatch: DISPATCH, end, stored});
}

t.test('a keyed request is sent only once its claim is granted', async t => {
  const fixture = createClaiming();
  t.equal(fixture.listSent('claimRequest').length, 1);
  t.equal(fixture.list('openStream').length, 0);
  fixture.answerClaim('q1', {kind: 'granted'});
  fixture.answerClaim('q1', {kind: 'granted'});
  t.equal(fixture.list('openStream').length, 1);
});

t.test('an outcome is sent until it is confirmed', async t => {
  const fixture = createRunning();
  endStream(fixture, {kind: 'complete'});
  t.equal(fixture.listSent('settleRequest').length, 1);
  fixture.pass(2_000);
  const repeats = fixture.listSent('settleRequest').length;
  t.ok(repeats >= 3 && repeats <= 5, `${repeats} in two seconds`);
  fixture.receive({
    kind: 'settleReply',
    key: createClaimKey(),
    request: REQUEST,
  });
  fixture.pass(2_000);
  t.equal(fixture.listSent('settleRequest').length, repeats);
});

interface ClaimCase {
  readonly name: string;
  readonly answer: ClaimAnswer;
  /** Why the request is refused; `null` when it is not. */
  readonly refused: RefusalReason['kind'] | null;
  /** Whether the caller is told that the call did not run. */
  readonly notRun?: boolean;
  readonly repeated: number;
}

const CLAIM_CASES: readonly ClaimCase[] = [
  {
    name: 'another content',
    answer: {kind: 'digestMismatch'},
    refused: 'idempotencyKeyReused',
    notRun: true,
    repeated: 0,
  },
  {
    name: 'an unknown outcome',
    answer: {kind: 'settled', outcome: {kind: 'unknown'}},
    refused: 'outcomeUnknown',
    notRun: false,
    repeated: 0,
  },
  {
    name: 'no room for claims',
    answer: {kind: 'full', retryAfterMs: 9},
    refused: 'claimsUnavailable',
    notRun: true,
    repeated: 0,
  },
  {
    name: 'a stored answer',
    answer: {kind: 'settled', outcome: {kind: 'answered', ...STORED}},
    refused: null,
    repeated: 1,
  },
  {
    name: 'an answer that was not kept',
    answer: {kind: 'settled', outcome: {kind: 'answeredNotKept', status: 200}},
    refused: null,
    repeated: 1,
  },
];

t.test('nothing runs again, whatever the claim says', async t => {
  for (const {name, answer, refused, notRun, repeated} of CLAIM_CASES) {
    const fixture = createClaiming();
    fixture.answerClaim('q1', answer);
    const refusal = fixture.list('refuseCaller').at(0)?.refusal;
    t.equal(refusal?.reason.kind ?? null, refused, name);
    t.equal(refusal?.notRun, notRun, name);
    t.equal(fixture.list('repeatAnswer').length, repeated, name);
    t.equal(fixture.list('openStream').length, 0, name);
    t.equal(fixture.node.view.requests.size, 0, name);
  }
});

t.test('a running outcome is awaited ever more seldom', async t => {
  const fixture = createClaiming();
  fixture.answerClaim('q1', {kind: 'running', node: toIdentifier('entry-1')});
  fixture.pass(20_000);
  const asked = fixture.listSent('claimRequest').length;
  t.ok(asked >= 6 && asked <= 10, `${asked} in twenty seconds`);
  t.equal(fixture.list('refuseCaller').length, 0);
});

t.test('a claim that is not answered is given up as not run', async t => {
  const fixture = createClaiming();
  fixture.pass(6_000);
  const [refused] = fixture.list('refuseCaller');
  t.equal(refused?.refusal.reason.kind, 'claimsUnavailable');
  t.equal(refused?.refusal.notRun, true);
  const before = fixture.listSent('settleRequest').length;
  fixture.receive({
    kind: 'settleReply',
    key: createClaimKey(),
    request: REQUEST,
  });
  fixture.answerClaim('q1', {kind: 'granted'});
  t.equal(fixture.listSent('settleRequest').length, before + 1);
  t.equal(fixture.list('openStream').length, 0, 'a late grant is returned');
});

t.test('a grant after the slot has run out keeps the claim', async t => {
  const fixture = createClaiming();
  fixture.pass(3_000);
  fixture.answerClaim('q1', {kind: 'granted'});
  fixture.pass(500);
  t.equal(fixture.listSent('settleRequest').length, 0);
  t.equal(fixture.list('openStream').length, 1);
});

t.test('a keyed call goes on without its caller', async t => {
  const fixture = createRunning();
  fixture.post({kind: 'callerGone', request: REQUEST});
  t.equal(fixture.list('cancelStream').length, 0);
  endStream(fixture, {kind: 'complete'});
  t.equal(fixture.listSent('settleRequest').at(0)?.outcome.kind, 'answered');
});

interface EndCase {
  readonly name: string;
  readonly end: StreamEnd;
  readonly notRun: boolean;
  readonly outcome: 'notRun' | 'unknown';
}

const END_CASES: readonly EndCase[] = [
  {
    name: 'no byte was sent',
    end: {kind: 'notSent', detail: 'ECONNREFUSED'},
    notRun: true,
    outcome: 'notRun',
  },
  {
    name: 'the endpoint was busy',
    end: {kind: 'rejected', status: 503},
    notRun: false,
    outcome: 'unknown',
  },
  {
    name: 'the answer was cut',
    end: {kind: 'cut', detail: 'closed', events: 0},
    notRun: false,
    outcome: 'unknown',
  },
];

t.test('a failure after the dispatch tells what is known', async t => {
  for (const {name, end, notRun, outcome} of END_CASES) {
    const fixture = createRunning();
    endStream(fixture, end);
    endStream(fixture, end);
    const refused = fixture.list('refuseCaller');
    t.equal(refused.length, 1, name);
    t.equal(refused[0]?.refusal.notRun, notRun, name);
    const settled = fixture.listSent('settleRequest').at(0);
    t.equal(settled?.outcome.kind, outcome, name);
    t.equal(fixture.list('openStream').length, 1, `${name}: no retry`);
  }
});

t.test('a cut stream is resumed, but not for ever', async t => {
  const fixture = createEntryFixture();
  fixture.post({kind: 'requestReceived', facts: createFacts('q1')});
  fixture.post({kind: 'streamStarted', dispatch: DISPATCH});
  for (const events of [3, 5, 5]) {
    endStream(fixture, {kind: 'cut', detail: 'closed', events});
  }
  t.strictSame(
    fixture.list('resumeStream').map(order => order.fromEvent),
    [3, 5],
  );
  t.equal(fixture.list('refuseCaller').at(0)?.refusal.notRun, false);
  t.equal(fixture.list('openStream').length, 1);
});

t.test('a failed resumption never counts as not run', async t => {
  const fixture = createEntryFixture();
  fixture.post({kind: 'requestReceived', facts: createFacts('q1')});
  endStream(fixture, {kind: 'cut', detail: 'closed', events: 0});
  endStream(fixture, {kind: 'notSent', detail: 'ECONNREFUSED'});
  t.equal(fixture.list('refuseCaller').at(0)?.refusal.notRun, false);
});

t.test('a silent endpoint ends the request, a slow one does not', async t => {
  const fixture = createEntryFixture();
  fixture.post({kind: 'requestReceived', facts: createFacts('q1')});
  fixture.post({kind: 'streamStarted', dispatch: DISPATCH});
  fixture.pass(20_000);
  fixture.post({kind: 'streamProgress', dispatch: DISPATCH});
  fixture.pass(20_000);
  t.equal(fixture.list('refuseCaller').length, 0);
  fixture.pass(20_000);
  t.equal(fixture.list('cancelStream').length, 1);
  t.equal(fixture.list('refuseCaller').at(0)?.refusal.notRun, false);
});

t.test('an entry leaves once its outcomes are confirmed', async t => {
  const fixture = createRunning();
  fixture.post({kind: 'shutdownRequested'});
  fixture.pass(3_000);
  t.equal(fixture.list('exit').length, 0, 'not while a request runs');
  endStream(fixture, {kind: 'complete'});
  fixture.pass(1_000);
  t.equal(fixture.list('exit').length, 0, 'not before the confirmation');
  fixture.receive({
    kind: 'settleReply',
    key: createClaimKey(),
    request: REQUEST,
  });
  fixture.pass(250);
  t.equal(fixture.list('exit').length, 1);
});
