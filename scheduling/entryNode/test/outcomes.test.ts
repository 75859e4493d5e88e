import type {RefusalReason, StreamEnd} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {DispatchId, RequestId} from '@gentianshunt/identifiers';
import type {ClaimAnswer} from '@gentianshunt/messages';
import t from 'tap';

import {
  createClaimKey,
  createEntryFixture,
  createRequestAttributes,
} from './entryFixture.js';
import type {EntryFixture} from './entryFixture.js';

const REQUEST = toIdentifier<RequestId>('q1');
const SLOW_ROUND_TRIP_MS = 1_000;
const TICK_MS = 250;
const DISPATCH = toIdentifier<DispatchId>('q1.d');
const STORED = {
  status: 200,
  contentType: 'text/plain',
  body: Buffer.from('7'),
};

/** Creates an entry with a keyed request whose claim is undecided. */
function createClaiming(): EntryFixture {
  const fixture = createEntryFixture();
  fixture.post({
    kind: 'requestReceived',
    attributes: createRequestAttributes('q1', true),
  });
  return fixture;
}

/** Creates an entry with a keyed request that was dispatched. */
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

t.test('an outcome is resent until it is confirmed', async t => {
  const fixture = createRunning();
  endStream(fixture, {kind: 'complete'});
  t.equal(fixture.listSent('settleRequest').length, 1);
  fixture.advance(2_000);
  const sentCount = fixture.listSent('settleRequest').length;
  t.ok(sentCount >= 3 && sentCount <= 5, `${sentCount} in two seconds`);
  fixture.receive({
    kind: 'settleReply',
    key: createClaimKey(),
    request: REQUEST,
  });
  fixture.advance(2_000);
  t.equal(fixture.listSent('settleRequest').length, sentCount);
});

/** Lets an entry with slow links do what is due within a round trip. */
function passRoundTrip(fixture: EntryFixture): void {
  for (let ageMs = 0; ageMs < SLOW_ROUND_TRIP_MS; ageMs += TICK_MS) {
    fixture.clock.advance(TICK_MS);
    fixture.post({kind: 'timerDue', timer: {kind: 'housekeeping'}});
  }
}

t.test('an outcome on a slow link is sent again before a reply', async t => {
  const fixture = createRunning();
  fixture.slowDown(SLOW_ROUND_TRIP_MS);
  endStream(fixture, {kind: 'complete'});
  passRoundTrip(fixture);
  t.equal(fixture.listSent('settleRequest').length, 1);
});

t.test('a claim on a slow link is requested again before a reply', async t => {
  const fixture = createEntryFixture();
  fixture.slowDown(SLOW_ROUND_TRIP_MS);
  fixture.advance(TICK_MS);
  fixture.post({
    kind: 'requestReceived',
    attributes: createRequestAttributes('q1', true),
  });
  t.equal(fixture.listSent('claimRequest').length, 1);
  passRoundTrip(fixture);
  t.equal(fixture.listSent('claimRequest').length, 1);
});

interface ClaimCase {
  readonly name: string;
  readonly answer: ClaimAnswer;
  /** Why the request is refused; `null` when it is not. */
  readonly refused: RefusalReason['kind'] | null;
  /** Whether the refusal says that the call did not run. */
  readonly notRun?: boolean;
  readonly repeated: number;
}

const CLAIM_CASES: readonly ClaimCase[] = [
  {
    name: 'different content',
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
    name: 'no capacity for claims',
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
    name: 'an answer that was not stored',
    answer: {kind: 'settled', outcome: {kind: 'answeredNotKept', status: 200}},
    refused: null,
    repeated: 1,
  },
];

t.test('no claim answer other than a grant dispatches the request', async t => {
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

t.test('the wait for a running request polls less and less often', async t => {
  const fixture = createClaiming();
  fixture.answerClaim('q1', {kind: 'running', node: toIdentifier('entry-1')});
  fixture.advance(20_000);
  const requestCount = fixture.listSent('claimRequest').length;
  t.ok(
    requestCount >= 6 && requestCount <= 10,
    `${requestCount} in twenty seconds`,
  );
  t.equal(fixture.list('refuseCaller').length, 0);
});

t.test('a request without a claim answer is refused as not run', async t => {
  const fixture = createClaiming();
  fixture.advance(6_000);
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
  t.equal(fixture.list('openStream').length, 0, 'a late grant is released');
});

t.test('a claim granted after the slot has expired is kept', async t => {
  const fixture = createClaiming();
  fixture.advance(3_000);
  fixture.answerClaim('q1', {kind: 'granted'});
  fixture.advance(500);
  t.equal(fixture.listSent('settleRequest').length, 0);
  t.equal(fixture.list('openStream').length, 1);
});

t.test('a keyed call continues after its caller has disconnected', async t => {
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
    name: 'the stream broke',
    end: {kind: 'cut', detail: 'closed', events: 0, progress: 'awaitingHead'},
    notRun: false,
    outcome: 'unknown',
  },
];

t.test('a failure after the dispatch reports whether the call ran', async t => {
  for (const {name, end, notRun, outcome} of END_CASES) {
    const fixture = createRunning();
    endStream(fixture, end);
    endStream(fixture, end);
    const refused = fixture.list('refuseCaller');
    t.equal(refused.length, 1, name);
    t.equal(refused[0]?.refusal.notRun, notRun, name);
    const completion = fixture.listSent('settleRequest').at(0);
    t.equal(completion?.outcome.kind, outcome, name);
    t.equal(fixture.list('openStream').length, 1, `${name}: no retry`);
  }
});

t.test('a broken stream is resumed a limited number of times', async t => {
  const fixture = createEntryFixture();
  fixture.post({
    kind: 'requestReceived',
    attributes: createRequestAttributes('q1'),
  });
  fixture.post({kind: 'streamStarted', dispatch: DISPATCH});
  for (const events of [3, 5, 5]) {
    endStream(fixture, {
      kind: 'cut',
      detail: 'closed',
      events,
      progress: 'delivering',
    });
  }
  t.strictSame(
    fixture.list('resumeStream').map(effect => effect.fromEvent),
    [3, 5],
  );
  t.equal(fixture.list('refuseCaller').at(0)?.refusal.notRun, false);
  t.equal(fixture.list('openStream').length, 1);
});

t.test('a failed resumption never counts as not run', async t => {
  const fixture = createEntryFixture();
  fixture.post({
    kind: 'requestReceived',
    attributes: createRequestAttributes('q1'),
  });
  endStream(fixture, {
    kind: 'cut',
    detail: 'closed',
    events: 0,
    progress: 'awaitingHead',
  });
  endStream(fixture, {kind: 'notSent', detail: 'ECONNREFUSED'});
  t.equal(fixture.list('refuseCaller').at(0)?.refusal.notRun, false);
});

t.test('a silent endpoint fails the request, a slow one does not', async t => {
  const fixture = createEntryFixture();
  fixture.post({
    kind: 'requestReceived',
    attributes: createRequestAttributes('q1'),
  });
  fixture.post({kind: 'streamStarted', dispatch: DISPATCH});
  fixture.advance(20_000);
  fixture.post({kind: 'streamProgress', dispatch: DISPATCH});
  fixture.advance(20_000);
  t.equal(fixture.list('refuseCaller').length, 0);
  fixture.advance(20_000);
  t.equal(fixture.list('cancelStream').length, 1);
  t.equal(fixture.list('refuseCaller').at(0)?.refusal.notRun, false);
});

t.test('a draining entry exits once its outcomes are confirmed', async t => {
  const fixture = createRunning();
  fixture.post({kind: 'shutdownRequested'});
  fixture.advance(3_000);
  t.equal(fixture.list('exit').length, 0, 'not while a request runs');
  endStream(fixture, {kind: 'complete'});
  fixture.advance(1_000);
  t.equal(fixture.list('exit').length, 0, 'not before the confirmation');
  fixture.receive({
    kind: 'settleReply',
    key: createClaimKey(),
    request: REQUEST,
  });
  fixture.advance(250);
  t.equal(fixture.list('exit').length, 1);
});
