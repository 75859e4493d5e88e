import t from 'tap';

import {
  countFailures,
  createExplanation,
  describeCause,
  formatExplanation,
  formatFailures,
  readLogLines,
} from '../src/index.js';
import type {FailureCause} from '../src/index.js';
import {createLines, createText} from './linesFixture.js';
import type {LineFixture} from './linesFixture.js';

function createDispatch(atMs: number, endpoint: string): LineFixture {
  return {
    atMs,
    event: 'requestDispatched',
    request: 'r1',
    set: 'chat',
    endpoint,
  };
}

function createEnd(
  atMs: number,
  fields: Readonly<Record<string, unknown>>,
): LineFixture {
  return {atMs, event: 'requestEnded', request: 'r1', set: 'chat', ...fields};
}

const CASES: readonly {
  readonly name: string;
  readonly lines: readonly LineFixture[];
  readonly cause: FailureCause;
}[] = [
  {
    name: 'an answer',
    lines: [createDispatch(0, 'e1'), createEnd(9, {end: 'answered'})],
    cause: {kind: 'answered'},
  },
  {
    name: 'an earlier answer that was sent again',
    lines: [createEnd(9, {end: 'repeated'})],
    cause: {kind: 'answered'},
  },
  {
    name: 'a caller that disconnected while waiting',
    lines: [createEnd(9, {end: 'abandonedWaiting'})],
    cause: {kind: 'abandoned', hadEndpoint: false},
  },
  {
    name: 'a caller that disconnected while the request ran',
    lines: [createDispatch(0, 'e1'), createEnd(9, {end: 'abandonedRunning'})],
    cause: {kind: 'abandoned', hadEndpoint: true},
  },
  {
    name: 'a refusal before admission',
    lines: [
      {
        atMs: 0,
        event: 'requestRefused',
        request: 'r1',
        reason: 'allotmentUsed',
        notRun: true,
      },
    ],
    cause: {kind: 'allotmentUsed', organisation: undefined},
  },
  {
    name: 'a request shed without a logged decision',
    lines: [createEnd(724, {end: 'refused', reason: 'shed', totalMs: 724})],
    cause: {
      kind: 'waitedTooLong',
      waitedMs: 724,
      decidedBy: undefined,
      waitingHere: undefined,
      runningHere: undefined,
    },
  },
  {
    name: 'a request shed with a logged decision',
    lines: [
      {
        atMs: 724,
        event: 'requestShed',
        request: 'r1',
        decidedBy: 'front-b',
        waitingHere: 7,
        runningHere: 0,
      },
      createEnd(724, {end: 'refused', reason: 'shed', totalMs: 724}),
    ],
    cause: {
      kind: 'waitedTooLong',
      waitedMs: 724,
      decidedBy: 'front-b',
      waitingHere: 7,
      runningHere: 0,
    },
  },
  {
    name: 'a request shed while it waited for a retry',
    lines: [
      createDispatch(0, 'e1'),
      createEnd(724, {end: 'refused', reason: 'shed', totalMs: 724}),
    ],
    cause: {kind: 'endpointFailed', endpoints: ['e1']},
  },
  {
    name: 'a request that failed at two endpoints',
    lines: [
      createDispatch(0, 'e1'),
      createDispatch(5, 'e2'),
      createEnd(9, {end: 'refused', reason: 'answerCut'}),
    ],
    cause: {kind: 'endpointFailed', endpoints: ['e1', 'e2']},
  },
  {
    name: 'a time limit',
    lines: [
      createDispatch(0, 'e1'),
      createEnd(9, {end: 'refused', reason: 'timeLimit'}),
    ],
    cause: {kind: 'timeLimit', endpoints: ['e1']},
  },
  {
    name: 'no lease',
    lines: [
      {atMs: 0, event: 'requestRefused', request: 'r1', reason: 'noLease'},
    ],
    cause: {kind: 'noLease'},
  },
  {
    name: 'an unknown route',
    lines: [
      {atMs: 0, event: 'requestRefused', request: 'r1', reason: 'unknownRoute'},
    ],
    cause: {kind: 'notAllowed', reason: 'unknownRoute'},
  },
  {
    name: 'a request whose entry was killed',
    lines: [createDispatch(0, 'e1')],
    cause: {kind: 'endNotLogged', endpoints: ['e1']},
  },
];

for (const {name, lines, cause} of CASES) {
  t.test(`the cause of ${name}`, async test => {
    const found = createExplanation({lines: createLines(lines), request: 'r1'});
    test.same(found?.cause, cause);
    test.not(describeCause(cause), '');
  });
}

t.test('the timeline holds the related lines in order', async test => {
  const lines = createLines([
    {atMs: -5_000, event: 'leaseLost'},
    {atMs: -100, event: 'leaseRegained'},
    {atMs: -90, event: 'leaseRegained', daemon: 'front-b'},
    {atMs: 10, event: 'requestDispatched', request: 'other', endpoint: 'e1'},
    createDispatch(0, 'e1'),
    {
      atMs: 5,
      event: 'endpointChanged',
      daemon: 'front-b',
      set: 'chat',
      endpoint: 'e1',
      state: 'silent',
    },
    {
      atMs: 6,
      event: 'setLeaderChanged',
      daemon: 'front-b',
      set: 'chat',
      node: 'front-c',
    },
    {atMs: 7, event: 'setLeaderChanged', daemon: 'front-b', set: 'plain'},
    createEnd(20, {end: 'refused', reason: 'answerCut'}),
    {atMs: 30, event: 'leaseLost'},
  ]);
  const found = createExplanation({lines, request: 'r1'});
  test.same(
    found?.timeline.map(({offsetMs, relation, line}) => [
      offsetMs,
      relation,
      line.event,
    ]),
    [
      [-100, 'entry', 'leaseRegained'],
      [0, 'request', 'requestDispatched'],
      [5, 'endpoint', 'endpointChanged'],
      [6, 'set', 'setLeaderChanged'],
      [20, 'request', 'requestEnded'],
    ],
  );
  const text = formatExplanation(found!);
  test.match(text, /failed at e1/);
  test.match(text, /\+5 ms \[endpoint\] front-b endpointChanged/);
});

t.test('a request that no line mentions has no explanation', async test => {
  const lines = createLines([createDispatch(0, 'e1')]);
  test.equal(createExplanation({lines, request: 'r2'}), undefined);
});

t.test('lines of several files are ordered, others counted', async test => {
  const texts = [
    `${createText([createEnd(9, {end: 'answered'})])}\n\nnot a line\n{"a":1}\n{broken`,
    `12.5 front-a | ${createText([createDispatch(0, 'e1')])}`,
  ];
  const {lines, unreadable} = readLogLines(texts);
  test.equal(unreadable, 3);
  test.same(
    lines.map(({event}) => event),
    ['requestDispatched', 'requestEnded'],
  );
});

t.test('the causes of all requests are counted', async test => {
  const lines = createLines([
    createEnd(1, {end: 'answered'}),
    {atMs: 2, event: 'requestRefused', request: 'r2', reason: 'noLease'},
    {atMs: 3, event: 'requestRefused', request: 'r3', reason: 'noLease'},
    {atMs: 4, event: 'leaseLost'},
  ]);
  const rows = countFailures(lines);
  test.same(rows, [
    {cause: 'noLease', count: 2, example: 'r2'},
    {cause: 'answered', count: 1, example: 'r1'},
  ]);
  test.match(formatFailures(rows), /noLease/);
});
