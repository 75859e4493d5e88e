import type {
  EntryObservation,
  RequestFacts,
  RouteTerms,
  StreamEnd,
} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {DispatchId} from '@gentianshunt/identifiers';
import t from 'tap';

import {createEntryFixture, createFacts} from './entryFixture.js';
import type {EntryFixture} from './entryFixture.js';

const FIRST = toIdentifier<DispatchId>('q1.d');

function createCall(terms: Partial<RouteTerms> = {}): RequestFacts {
  return {
    ...createFacts('q1'),
    terms: {
      route: toIdentifier('r1'),
      maxAttempts: 2,
      timeLimitMs: 6_000,
      objectiveMs: 500,
      patienceMs: 3_000,
      isResumable: false,
      isStream: true,
      allotmentTokens: 10,
      ...terms,
    },
  };
}

/** Creates an entry with a call that was dispatched. */
function createDispatched(terms: Partial<RouteTerms> = {}): EntryFixture {
  const fixture = createEntryFixture();
  fixture.post({kind: 'requestReceived', facts: createCall(terms)});
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

const cut: StreamEnd = {kind: 'cut', detail: 'reset', events: 0};
const notExecuted: StreamEnd = {kind: 'notExecuted', detail: 'full'};
const notSent: StreamEnd = {kind: 'notSent', detail: 'ECONNREFUSED'};
const failed: StreamEnd = {kind: 'failed', status: 500};

const ends: readonly {
  readonly name: string;
  readonly maxAttempts: number;
  readonly end: StreamEnd;
  readonly dispatches: number;
  readonly refusals: readonly string[];
}[] = [
  {
    name: 'a call that may be repeated goes to another endpoint',
    maxAttempts: 2,
    end: failed,
    dispatches: 2,
    refusals: [],
  },
  {
    name: 'a cut without a byte is repeated',
    maxAttempts: 2,
    end: cut,
    dispatches: 2,
    refusals: [],
  },
  {
    name: 'the attempts of the route are kept',
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
    name: 'a call that never left costs no attempt',
    maxAttempts: 1,
    end: notSent,
    dispatches: 2,
    refusals: [],
  },
];

for (const {name, maxAttempts, end, dispatches, refusals} of ends) {
  t.test(name, async t => {
    const fixture = createDispatched({maxAttempts});
    endStream(fixture, end);
    fixture.pass(500);
    t.equal(fixture.list('openStream').length, dispatches);
    t.same(listRefusals(fixture), refusals);
  });
}

t.test('what may have run is never refused as not run later', async t => {
  const fixture = createDispatched();
  endStream(fixture, cut);
  fixture.pass(500);
  endStream(fixture, notExecuted, toIdentifier<DispatchId>('q1.d2'));
  t.same(listRefusals(fixture), ['endpointFailed mayHaveRun']);
});

t.test('an answer that has begun is repeated only if it resumes', async t => {
  for (const isResumable of [false, true]) {
    const fixture = createDispatched({isResumable});
    fixture.post({kind: 'streamStarted', dispatch: FIRST});
    endStream(fixture, cut);
    fixture.pass(500);
    t.equal(fixture.list('openStream').length, isResumable ? 2 : 1);
    t.equal(listRefusals(fixture).length, isResumable ? 0 : 1);
  }
});

t.test('a silent endpoint loses a call that may be repeated', async t => {
  const fixture = createDispatched();
  fixture.pass(1_500);
  t.equal(fixture.list('cancelStream').length, 1);
  t.equal(fixture.list('openStream').length, 2);
});

const limitRows: readonly {
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

for (const {name, before, refusal} of limitRows) {
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

/** Fills the places of the set, so that a further call waits. */
function createWaiting(terms: Partial<RouteTerms>): EntryFixture {
  const fixture = createEntryFixture();
  for (let index = 0; index < 4; index += 1) {
    const facts = {...createCall(), id: toIdentifier<never>(`busy${index}`)};
    const {terms: busyTerms} = facts;
    fixture.post({
      kind: 'requestReceived',
      facts: {...facts, terms: {...busyTerms!, maxAttempts: 1}},
    });
  }
  fixture.pass(250);
  fixture.post({kind: 'requestReceived', facts: createCall(terms)});
  return fixture;
}

t.test('a call in line is refused before its caller leaves', async t => {
  const fixture = createWaiting({patienceMs: 2_000});
  t.equal(fixture.list('openStream').length, 4);
  fixture.pass(1_400);
  t.same(listRefusals(fixture), []);
  fixture.pass(500);
  t.same(listRefusals(fixture), ['shed notRun']);
});

t.test('a call in line past its objective stands behind its tier', async t => {
  const fixture = createWaiting({objectiveMs: 300});
  fixture.pass(500);
  const [line] = [...fixture.node.view.waiting.iterateFrom()];
  t.match(line!.value, {id: 'q1', rank: 2, isLate: true});
});

t.test('a call in line at its time limit has not run', async t => {
  const fixture = createWaiting({});
  fixture.post({kind: 'timeLimitReached', request: toIdentifier('q1')});
  t.same(listRefusals(fixture), ['timeLimit notRun']);
});

t.test('it is told why a request was given up', async t => {
  const fixture = createEntryFixture();
  for (let count = 0; count < 6; count += 1) {
    const facts = {...createCall(), id: toIdentifier<never>(`w${count}`)};
    fixture.post({kind: 'requestReceived', facts});
    fixture.pass(250);
  }
  fixture.pass(3_000);
  const told = fixture
    .list('tell')
    .flatMap(({decision}) =>
      decision.kind === 'requestShed' ? [decision] : [],
    );
  t.equal(told.length, 2);
  t.match(told[0], {
    set: 'drafts',
    decidedBy: 'entry-0',
    patienceMs: 3_000,
    waitingHere: 2,
    runningHere: 4,
    epoch: 1,
  });
});
