import type {RecordedEvent} from '../src/index.js';
import {checkCases, repeat} from './checkCases.js';
import {
  createOrderAcknowledged,
  createOrderSent,
} from './configurationFixture.js';
import {
  CALM,
  createCut,
  createRun,
  createSent,
  createSignal,
} from './historyFixture.js';

const closedRequest = (attempt: string): readonly RecordedEvent[] => [
  createSent(CALM, attempt),
  ...createRun(CALM + 10, attempt),
  createCut(CALM + 50, attempt),
];

checkCases('closedWithoutAnswer', [
  {
    name: 'more than three closed connections',
    events: repeat(4, closedRequest),
    violations: 1,
    excused: 0,
  },
  {
    name: 'three closed connections',
    events: repeat(3, closedRequest),
    violations: 0,
    excused: 0,
  },
  {
    name: 'endpoints that broke off',
    events: repeat(4, attempt => [
      ...closedRequest(attempt),
      {
        at: CALM + 40,
        kind: 'runEnded',
        attempt,
        endpoint: 'e-1',
        end: 'brokenOff',
      },
    ]),
    violations: 0,
    excused: 0,
  },
]);

const terminated = createSignal(CALM - 100, 'plain-1', 'SIGTERM');

checkCases('plannedWork', [
  {
    name: 'a request that was sent on is cut after SIGTERM',
    events: [terminated, ...closedRequest('r')],
    violations: 1,
    excused: 0,
  },
  {
    name: 'a request that was read is cut after SIGHUP',
    events: [
      createSignal(CALM - 100, 'plain-1', 'SIGHUP'),
      createSent(CALM, 'r'),
      {at: CALM + 10, kind: 'requestWritten', attempt: 'r'},
      createCut(CALM + 211, 'r'),
    ],
    violations: 1,
    excused: 0,
  },
  {
    name: 'a request that was left unread',
    events: [
      terminated,
      createSent(CALM, 'r'),
      {at: CALM + 10, kind: 'requestWritten', attempt: 'r'},
      createCut(CALM + 1_000, 'r', true),
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'a request that crosses the close of its connection',
    events: [
      terminated,
      createSent(CALM, 'r'),
      {at: CALM + 10, kind: 'requestWritten', attempt: 'r'},
      createCut(CALM + 100, 'r'),
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'a kill of another VM',
    events: [
      terminated,
      createSignal(CALM - 2_000, 'plain-2', 'SIGKILL'),
      ...closedRequest('r'),
    ],
    violations: 0,
    excused: 1,
  },
  {
    name: 'no planned work',
    events: [...closedRequest('r')],
    violations: 0,
    excused: 0,
  },
]);

function createOrder(
  sentAt: number,
  acknowledgedAt: number,
  vm = 'core-1',
): RecordedEvent[] {
  return [
    createOrderSent(sentAt, 8, {vm}),
    createOrderAcknowledged(acknowledgedAt, 8, {vm}),
    {at: CALM + 20_000, kind: 'settingsWritten', vm: 'core-1'},
  ];
}

function createUnansweredLeave(endpoint: string): RecordedEvent[] {
  return [
    {at: CALM, kind: 'leaveSent', endpoint, vm: 'core-1', form: 'draining'},
    {at: CALM + 20_000, kind: 'leaveEnded', endpoint},
  ];
}

checkCases('acknowledgements', [
  {
    name: 'an order without an acknowledgement in time',
    events: createOrder(CALM, CALM + 4_001),
    violations: 1,
    excused: 0,
  },
  {
    name: 'an order that was acknowledged in time',
    events: createOrder(CALM, CALM + 4_000),
    violations: 0,
    excused: 0,
  },
  {
    name: 'an order with many routes, which may take longer',
    events: [
      createOrderSent(CALM, 8, {routes: 100}),
      createOrderAcknowledged(CALM + 4_300, 8),
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'an invalid order that is refused',
    events: [
      {
        at: CALM,
        kind: 'orderRefused',
        form: 'invalid',
        version: 8,
        vm: 'core-1',
        status: 400,
      },
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'an order while the core was not stable',
    events: [
      createSignal(CALM + 100, 'core-1', 'SIGKILL'),
      ...createOrder(CALM, CALM + 5_000),
    ],
    violations: 0,
    excused: 1,
  },
  {
    name: 'an order that was sent to a paused VM only',
    events: [
      createSignal(CALM - 100, 'plain-1', 'SIGSTOP'),
      ...createOrder(CALM, CALM + 5_000, 'plain-1'),
    ],
    violations: 0,
    excused: 1,
  },
  {
    name: 'a valid order that is refused',
    events: [
      {
        at: CALM,
        kind: 'orderRefused',
        form: 'change',
        version: 8,
        vm: 'core-1',
        status: 400,
      },
    ],
    violations: 1,
    excused: 0,
  },
  {
    name: 'leaves without acknowledgements',
    events: repeat(5, createUnansweredLeave),
    violations: 1,
    excused: 0,
  },
  {
    name: 'leaves while a link was disrupted',
    events: [
      {
        at: CALM,
        kind: 'linkFaulted',
        from: 'plain-1',
        to: 'plain-2',
        fault: 'cut',
      },
      ...repeat(5, createUnansweredLeave),
    ],
    violations: 0,
    excused: 0,
  },
]);

function createEnd(isAsked: boolean): RecordedEvent {
  const vm = 'plain-1';
  return {at: CALM, kind: 'vmEnded', vm, pid: 4, result: 'code 2', isAsked};
}

checkCases('processEnds', [
  {
    name: 'VMs that do not start',
    events: [{at: CALM, kind: 'deploymentNotReady', waitedMs: 30_000}],
    violations: 1,
    excused: 0,
  },
  {
    name: 'an end by itself',
    events: [createEnd(false)],
    violations: 1,
    excused: 0,
  },
  {
    name: 'an end by itself after SIGHUP',
    events: [createSignal(CALM - 10, 'plain-1', 'SIGHUP'), createEnd(false)],
    violations: 1,
    excused: 0,
  },
  {
    name: 'an end within a second of a disturbance',
    events: [
      createSignal(CALM - 3_000, 'plain-1', 'SIGSTOP'),
      createSignal(CALM - 900, 'plain-1', 'SIGCONT'),
      createEnd(false),
    ],
    violations: 0,
    excused: 1,
  },
  {
    name: 'an end after a signal that ends it',
    events: [createEnd(true)],
    violations: 0,
    excused: 0,
  },
]);

checkCases(
  'memory',
  [200_000_001, 200_000_000].map((peakBytes, index) => ({
    name: `${peakBytes} bytes`,
    events: [
      {at: CALM, kind: 'memoryMeasured', vm: 'plain-1', pid: 4, peakBytes},
      {at: CALM + 1, kind: 'memoryMeasured', vm: 'plain-1', pid: 4, peakBytes},
    ],
    violations: 1 - index,
    excused: 0,
  })),
);
