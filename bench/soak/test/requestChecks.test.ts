import type {RecordedEvent} from '../src/index.js';
import {checkCases, repeat} from './checkCases.js';
import {
  CALM,
  createAnswer,
  createCancel,
  createLeave,
  createRun,
  createSent,
  createSignal,
} from './historyFixture.js';

const lateRequest = [
  createSent(CALM + 2_000, 'r'),
  ...createRun(CALM + 2_100, 'r'),
];

checkCases('leaves', [
  {
    name: 'a request after the drain time',
    events: [createLeave(CALM), ...lateRequest],
    violations: 1,
    excused: 0,
  },
  {
    name: 'a request within the drain time',
    events: [createLeave(CALM + 200), ...lateRequest],
    violations: 0,
    excused: 0,
  },
  {
    name: 'a leave that a VM out of touch acknowledged',
    events: [
      createSignal(CALM - 2_000, 'plain-2', 'SIGCONT'),
      createSignal(CALM - 4_000, 'plain-2', 'SIGSTOP'),
      createLeave(CALM, 'plain-2'),
      ...lateRequest,
    ],
    violations: 0,
    excused: 1,
  },
  {
    name: 'a later acknowledgement of a VM in touch counts',
    events: [
      createSignal(CALM - 4_000, 'plain-2', 'SIGSTOP'),
      createSignal(CALM - 2_000, 'plain-2', 'SIGCONT'),
      createLeave(CALM - 1_500, 'plain-2'),
      createLeave(CALM),
      ...lateRequest,
    ],
    violations: 1,
    excused: 0,
  },
  {
    name: 'a request from a VM that was paused',
    events: [
      createLeave(CALM),
      createSignal(CALM + 100, 'plain-1', 'SIGSTOP'),
      createSignal(CALM + 1_900, 'plain-1', 'SIGCONT'),
      ...lateRequest,
    ],
    violations: 0,
    excused: 1,
  },
  {
    name: 'an arrival that may have been recorded late',
    events: [
      createLeave(CALM),
      ...lateRequest,
      {at: CALM + 2_100, kind: 'recorderDelayed', delayMs: 150},
    ],
    violations: 0,
    excused: 1,
  },
]);

const leavingAnswer: readonly RecordedEvent[] = [
  createSent(CALM - 100, 'first'),
  ...createRun(CALM - 50, 'first'),
  {at: CALM - 10, kind: 'leavingSaid', attempt: 'first', endpoint: 'e-1'},
  createAnswer(CALM, 'first'),
];
const afterLeavingAnswer = [
  createSent(CALM + 2_001, 'r'),
  ...createRun(CALM + 2_100, 'r'),
];

checkCases('leavingAnswers', [
  {
    name: 'a request sent later than the drain time',
    events: [...leavingAnswer, ...afterLeavingAnswer],
    violations: 1,
    excused: 0,
  },
  {
    name: 'a request sent within the drain time',
    events: [...leavingAnswer, ...lateRequest],
    violations: 0,
    excused: 0,
  },
  {
    name: 'a freeze since then',
    events: [
      ...leavingAnswer,
      createSignal(CALM + 100, 'plain-1', 'SIGSTOP'),
      createSignal(CALM + 200, 'plain-1', 'SIGCONT'),
      ...afterLeavingAnswer,
    ],
    violations: 0,
    excused: 1,
  },
  {
    name: 'a request from another VM',
    events: [
      ...leavingAnswer,
      createSent(CALM + 3_000, 'r', {vm: 'plain-2'}),
      ...createRun(CALM + 3_100, 'r'),
    ],
    violations: 0,
    excused: 0,
  },
]);

for (const {check, status} of [
  {check: 'runOnce', status: 200},
  {check: 'refusals', status: 503},
] as const) {
  const runs = check === 'runOnce' ? 2 : 1;
  const createEvents = (kind: 'unsafe' | 'safe', count: number) => [
    createSent(CALM, 'r', {kind}),
    ...Array.from({length: count}, () => createRun(CALM, 'r')).flat(),
    createAnswer(CALM + 100, 'r', status),
  ];
  checkCases(check, [
    {
      name: 'a request that may not be repeated',
      events: createEvents('unsafe', runs),
      violations: 1,
      excused: 0,
    },
    {
      name: 'one that may',
      events: createEvents('safe', runs),
      violations: 0,
      excused: 0,
    },
    {
      name: 'fewer runs',
      events: createEvents('unsafe', runs - 1),
      violations: 0,
      excused: 0,
    },
  ]);
}

checkCases('answers', [
  {
    name: 'the answer to another request',
    events: [createSent(CALM, 'r'), createAnswer(CALM, 'r', 200, 'of r-2')],
    violations: 1,
    excused: 0,
  },
  {
    name: 'a whole answer',
    events: [createSent(CALM, 'r'), createAnswer(CALM, 'r')],
    violations: 0,
    excused: 0,
  },
]);

checkCases('bodies', [
  {
    name: 'another body',
    events: [createSent(CALM, 'r'), ...createRun(CALM, 'r', {isIntact: false})],
    violations: 1,
    excused: 0,
  },
]);

const cancelledRun = (attempt: string): readonly RecordedEvent[] => [
  createSent(CALM, attempt),
  ...createRun(CALM + 10, attempt, {plannedMs: 2_000}),
  createCancel(CALM + 100, attempt),
];
const stoppedRun = (attempt: string): readonly RecordedEvent[] => [
  ...cancelledRun(attempt),
  {
    at: CALM + 200,
    kind: 'runEnded',
    attempt,
    endpoint: 'e-1',
    end: 'disconnected',
  },
];
const lateArrival = (attempt: string): readonly RecordedEvent[] => [
  createSent(CALM, attempt),
  createCancel(CALM + 100, attempt),
  {at: CALM + 601, kind: 'arrived', attempt, endpoint: 'e-1'},
];

checkCases('cancelled', [
  {
    name: 'runs that go on',
    events: repeat(8, cancelledRun),
    violations: 1,
    excused: 0,
  },
  {
    name: 'runs that stop',
    events: repeat(8, stoppedRun),
    violations: 0,
    excused: 0,
  },
  {
    name: 'more than a few late arrivals',
    events: repeat(4, lateArrival),
    violations: 1,
    excused: 0,
  },
  {
    name: 'arrivals that may have been recorded late',
    events: [
      ...repeat(4, lateArrival),
      {at: CALM + 650, kind: 'recorderDelayed', delayMs: 20},
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'a few late arrivals',
    events: repeat(3, lateArrival),
    violations: 0,
    excused: 0,
  },
  {
    name: 'a VM out of touch',
    events: [
      createSignal(CALM, 'plain-1', 'SIGSTOP'),
      ...repeat(8, cancelledRun),
    ],
    violations: 0,
    excused: 0,
  },
]);
