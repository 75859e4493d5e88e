import type {
  EntryObservation,
  RequestAttributes,
  RoutePolicy,
  StreamEnd,
} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {DispatchId, RequestId} from '@gentianshunt/identifiers';
import t from 'tap';

import {createEntryFixture, createRequestAttributes} from './entryFixture.js';
import type {EntryFixture} from './entryFixture.js';

const FIRST = toIdentifier<DispatchId>('q1.d');

function createCallAttributes(
  policy: Partial<RoutePolicy> = {},
): RequestAttributes {
  return {
    ...createRequestAttributes('q1'),
    routePolicy: {
      route: toIdentifier('r1'),
      maxAttempts: 2,
      timeLimitMs: 6_000,
      objectiveMs: 500,
      patienceMs: 3_000,
      isResumable: false,
      isStream: true,
      quotaTokens: 10,
      ...policy,
    },
  };
}

/** Creates an entry with a call that was dispatched. */
function createDispatched(policy: Partial<RoutePolicy> = {}): EntryFixture {
  const fixture = createEntryFixture();
  fixture.post({
    kind: 'requestReceived',
    attributes: createCallAttributes(policy),
  });
  return fixture;
}

function endStream(
  fixture: EntryFixture,
  end: StreamEnd,
  dispatch: DispatchId = FIRST,
): void {
  fixture.post({kind: 'streamEnded', dispatch, end, stored: null});
}

function listRefusals(fixture: EntryFixture): readonly string[] {
  return fixture
    .list('refuseCaller')
    .map(
      ({refusal: {reason, notRun}}) =>
        `${reason.kind} ${notRun ? 'notRun' : 'mayHaveRun'}`,
    );
}

const brokenStream: StreamEnd = {
  kind: 'cut',
  detail: 'reset',
  events: 0,
  progress: 'awaitingHead',
};
const notExecuted: StreamEnd = {kind: 'notExecuted', detail: 'full'};
const notSent: StreamEnd = {kind: 'notSent', detail: 'ECONNREFUSED'};
const failed: StreamEnd = {kind: 'failed', status: 500};

const endCases: readonly {
  readonly name: string;
  readonly maxAttempts: number;
  readonly end: StreamEnd;
  readonly dispatches: number;
  readonly refusals: readonly string[];
}[] = [
  {
    name: 'a call that may be retried goes to another endpoint',
    maxAttempts: 2,
    end: failed,
    dispatches: 2,
    refusals: [],
  },
  {
    name: 'a call is retried if its stream breaks before the first byte',
    maxAttempts: 2,
    end: brokenStream,
    dispatches: 2,
    refusals: [],
  },
  {
    name: 'the maximum attempts of the route are respected',
    maxAttempts: 1,
    end: failed,
    dispatches: 1,
    refusals: ['endpointFailed mayHaveRun'],
  },
  {
    name: 'a call that was not executed is refused as not run',
    maxAttempts: 1,
    end: notExecuted,
    dispatches: 1,
    refusals: ['endpointFailed notRun'],
  },
  {
    name: 'a call of which no byte was sent costs no attempt',
    maxAttempts: 1,
    end: notSent,
    dispatches: 2,
    refusals: [],
  },
];

for (const {name, maxAttempts, end, dispatches, refusals} of endCases) {
  t.test(name, async t => {
    const fixture = createDispatched({maxAttempts});
    endStream(fixture, end);
    fixture.advance(500);
    t.equal(fixture.list('openStream').length, dispatches);
    t.same(listRefusals(fixture), refusals);
  });
}

t.test(
  'a call that may have run is never refused as not run later',
  async t => {
    const fixture = createDispatched();
    endStream(fixture, brokenStream);
    fixture.advance(500);
    endStream(fixture, notExecuted, toIdentifier<DispatchId>('q1.d2'));
    t.same(listRefusals(fixture), ['endpointFailed mayHaveRun']);
  },
);

t.test(
  'a call with a started answer is retried only if it is resumable',
  async t => {
    for (const isResumable of [false, true]) {
      const fixture = createDispatched({isResumable});
      fixture.post({kind: 'streamStarted', dispatch: FIRST});
      endStream(fixture, brokenStream);
      fixture.advance(500);
      t.equal(fixture.list('openStream').length, isResumable ? 2 : 1);
      t.equal(listRefusals(fixture).length, isResumable ? 0 : 1);
    }
  },
);

// Guards against calls refused because their entry was behind on leaves.
t.test('a call withheld while leaves are unknown uses no retry', async t => {
  const fixture = createDispatched({patienceMs: 30_000});
  for (let count = 1; count <= 5; count += 1) {
    const opened = fixture.list('openStream');
    t.equal(opened.length, count);
    endStream(
      fixture,
      {kind: 'withheld', cause: 'leavesUnknown'},
      opened.at(-1)!.dispatch.id,
    );
    fixture.advance(250);
  }
  t.same(listRefusals(fixture), []);
  t.notOk(fixture.list('openStream').at(-1)!.request.tried?.length);
});

t.test('a call that may be retried leaves a silent endpoint', async t => {
  const fixture = createDispatched();
  fixture.advance(1_500);
  t.equal(fixture.list('cancelStream').length, 1);
  t.equal(fixture.list('openStream').length, 2);
});

const timeLimitCases: readonly {
  readonly name: string;
  readonly before: readonly EntryObservation[];
  readonly refusal: string;
}[] = [
  {name: 'while it runs', before: [], refusal: 'timeLimit mayHaveRun'},
  {
    name: 'while it is answered',
    before: [{kind: 'streamStarted', dispatch: FIRST}],
    refusal: 'timeLimit mayHaveRun',
  },
];

for (const {name, before, refusal} of timeLimitCases) {
  t.test(`the time limit ends a call ${name}`, async t => {
    const fixture = createDispatched();
    before.forEach(fixture.post);
    fixture.post({
      kind: 'timeLimitReached',
      request: toIdentifier('q1'),
    });
    t.same(listRefusals(fixture), [refusal]);
    t.equal(fixture.list('cancelStream').length, 1);
  });
}

/** Uses up the capacity of the set, so that a further call waits. */
function createWaiting(policy: Partial<RoutePolicy>): EntryFixture {
  const fixture = createEntryFixture();
  for (let index = 0; index < 4; index += 1) {
    const call = {
      ...createCallAttributes(),
      id: toIdentifier<never>(`busy${index}`),
    };
    const {routePolicy: busyPolicy} = call;
    fixture.post({
      kind: 'requestReceived',
      attributes: {...call, routePolicy: {...busyPolicy!, maxAttempts: 1}},
    });
  }
  fixture.advance(250);
  fixture.post({
    kind: 'requestReceived',
    attributes: createCallAttributes(policy),
  });
  return fixture;
}

t.test('a queued call is refused before its caller leaves', async t => {
  const fixture = createWaiting({patienceMs: 2_000});
  t.equal(fixture.list('openStream').length, 4);
  fixture.advance(1_400);
  t.same(listRefusals(fixture), []);
  fixture.advance(500);
  t.same(listRefusals(fixture), ['shed notRun']);
});

t.test('a queued call past its objective ranks below its tier', async t => {
  const fixture = createWaiting({objectiveMs: 300});
  fixture.advance(500);
  const [queued] = [...fixture.node.view.waiting.iterateFrom()];
  t.match(queued!.value, {id: 'q1', rank: 2, isDeprioritised: true});
});

t.test('a queued call at its time limit is refused as not run', async t => {
  const fixture = createWaiting({});
  fixture.post({kind: 'timeLimitReached', request: toIdentifier('q1')});
  t.same(listRefusals(fixture), ['timeLimit notRun']);
});

t.test('the decision log records why a request was shed', async t => {
  const fixture = createEntryFixture();
  for (let count = 0; count < 6; count += 1) {
    const call = {
      ...createCallAttributes(),
      id: toIdentifier<never>(`w${count}`),
    };
    fixture.post({kind: 'requestReceived', attributes: call});
    fixture.advance(250);
  }
  fixture.advance(3_000);
  const decisions = fixture
    .list('logDecision')
    .flatMap(({decision}) =>
      decision.kind === 'requestShed' ? [decision] : [],
    );
  t.equal(decisions.length, 2);
  const common = {
    set: 'drafts',
    decidedBy: 'entry-0',
    patienceMs: 3_000,
    waitingHere: 1,
    runningHere: 4,
    epoch: 1,
  };
  // The last one finds the room used up and another one waiting.
  t.match(decisions[0], {...common, request: 'w5', waitedMs: 0});
  t.match(decisions[1], {...common, request: 'w4'});
  t.ok(decisions[1]!.waitedMs >= 2_400, 'shortly before its caller leaves');
});

t.test('a draining entry passes no new request on, in calm', async t => {
  const fixture = createEntryFixture();
  fixture.post({kind: 'shutdownRequested'});
  for (const [index, delayMs] of [0, 1_000, 3_000, 6_500].entries()) {
    fixture.advance(delayMs);
    const id = toIdentifier<RequestId>(`q${index + 1}`);
    const attributes = {...createCallAttributes(), id};
    fixture.post({kind: 'requestReceived', attributes});
    fixture.post({
      kind: 'requestReceived',
      attributes: {
        ...createRequestAttributes(`k${index + 1}`),
        claim: {idempotencyKey: `key-${index}`, digest: 'd'},
      },
    });
  }
  t.same(fixture.list('openStream'), []);
  t.same(new Set(listRefusals(fixture)), new Set(['draining notRun']));
  t.equal(listRefusals(fixture).length, 8);
});
