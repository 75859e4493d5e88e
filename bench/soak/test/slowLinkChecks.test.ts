import {BOUNDS, RECOVER_MS} from '../src/index.js';
import type {RecordedEvent} from '../src/index.js';
import {checkCases} from './checkCases.js';
import {
  createProbeAnswer,
  createProbeRun,
  createRead,
} from './configurationFixture.js';
import {CALM, createSignal, VMS} from './historyFixture.js';

const SLOW_MS = 15_000;
const READ_INTERVAL_MS = 200;
const PROBES = 10;
const FIXED_ROUTE = {kind: 'fixedRoute'} as const;

/** Creates slow links between a VM and all others. */
function createSlowLinks(vm = 'plain-1'): readonly RecordedEvent[] {
  return VMS.filter(other => other !== vm).flatMap(to => [
    {at: CALM, kind: 'linkFaulted', from: vm, to, fault: 'delayed'},
    {at: CALM + SLOW_MS, kind: 'linkRestored', from: vm, to, fault: 'delayed'},
  ]);
}

/** Creates reads at one VM, which fail for a time. */
function createReads(
  failFrom: number,
  failMs: number,
): readonly RecordedEvent[] {
  return Array.from({length: SLOW_MS / READ_INTERVAL_MS}, (_, index) => {
    const sentAt = CALM + index * READ_INTERVAL_MS;
    const isFailed = sentAt >= failFrom && sentAt < failFrom + failMs;
    return createRead(sentAt, isFailed ? null : 9);
  });
}

const failLong = createReads(CALM + 2_000, BOUNDS.contactMs + 400);

checkCases('leases', [
  {
    name: 'reads that fail no longer than the contact time',
    events: [
      ...createSlowLinks(),
      ...createReads(CALM + 2_000, BOUNDS.contactMs),
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'reads that fail for longer',
    events: [...createSlowLinks(), ...failLong],
    violations: 1,
    excused: 0,
  },
  {
    name: 'reads that are recorded late',
    events: [
      ...createSlowLinks(),
      ...failLong,
      {at: CALM + 5_000, kind: 'recorderDelayed', delayMs: 500},
    ],
    violations: 0,
    excused: 1,
  },
  {
    name: 'links that are not slow',
    events: failLong,
    violations: 0,
    excused: 0,
  },
  {
    name: 'a VM that was paused',
    events: [
      ...createSlowLinks(),
      ...failLong,
      createSignal(CALM + 1_000, 'plain-1', 'SIGSTOP'),
      createSignal(CALM + 2_500, 'plain-1', 'SIGCONT'),
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'a core that was not stable',
    events: [
      ...createSlowLinks(),
      ...failLong,
      createSignal(CALM + 2_500, 'core-1', 'SIGSTOP'),
    ],
    violations: 0,
    excused: 0,
  },
]);

/** Creates a final fault, and probe calls before it and a time after it. */
function createRecovery(
  afterMs: number,
  areServed: boolean,
): readonly RecordedEvent[] {
  const fault = {
    kind: 'allKilled',
    lostDisk: null,
    hindrance: {kind: 'none'},
  } as const;
  const starts = VMS.map((vm, pid): RecordedEvent => ({
    at: CALM,
    kind: 'vmStarted',
    vm,
    cause: 'scheduled',
    pid: 100 + pid,
  }));
  const times = Array.from({length: PROBES}, (_, index) => index * 20);
  return [
    ...times.flatMap(ms => createProbeRun(CALM - 1_000 + ms, FIXED_ROUTE, 's')),
    {at: CALM, kind: 'finalFaultInjected', fault},
    ...starts,
    ...times.flatMap(ms =>
      areServed
        ? createProbeRun(CALM + afterMs + ms, FIXED_ROUTE, 's')
        : createProbeAnswer(CALM + afterMs + ms, FIXED_ROUTE, 503),
    ),
  ];
}

checkCases('recovery', [
  {
    name: 'calls that are served after the recovery time',
    events: createRecovery(RECOVER_MS, true),
    violations: 0,
    excused: 0,
  },
  {
    name: 'calls that are refused after the recovery time',
    events: createRecovery(RECOVER_MS, false),
    violations: 1,
    excused: 0,
  },
  {
    name: 'calls that are refused before the recovery time',
    events: createRecovery(RECOVER_MS - 1_000, false),
    violations: 0,
    excused: 0,
  },
]);
