import {BOUNDS, RECOVER_MS} from '../src/index.js';
import type {RecordedEvent} from '../src/index.js';
import {checkCases} from './checkCases.js';
import {createProbeAnswer, createProbeRun} from './configurationFixture.js';
import {CALM, createSignal, VMS} from './historyFixture.js';

const SLOW_MS = 15_000;
const CALL_INTERVAL_MS = 200;
const PROBES = 10;
const FIXED_ROUTE = {kind: 'fixedRoute'} as const;

/** Creates slow links between a VM and all others. */
function createSlowLinks(vm = 'plain-1'): readonly RecordedEvent[] {
  return VMS.filter(other => other !== vm).flatMap(to => [
    {at: CALM, kind: 'linkFaulted', from: vm, to, fault: 'late'},
    {at: CALM + SLOW_MS, kind: 'linkRestored', from: vm, to, fault: 'late'},
  ]);
}

/** Creates calls to one VM, which it refuses for a time. */
function createCalls(
  refusedFrom: number,
  refusedMs: number,
): readonly RecordedEvent[] {
  const times = Array.from(
    {length: SLOW_MS / CALL_INTERVAL_MS},
    (_, index) => CALM + index * CALL_INTERVAL_MS,
  );
  return times.flatMap(sentAt => {
    const isRefused = sentAt >= refusedFrom && sentAt < refusedFrom + refusedMs;
    return createProbeAnswer(sentAt, FIXED_ROUTE, isRefused ? 503 : 404);
  });
}

const refusedLong = createCalls(CALM + 2_000, BOUNDS.contactMs + 400);

checkCases('leases', [
  {
    name: 'calls that are refused no longer than the contact time',
    events: [
      ...createSlowLinks(),
      ...createCalls(CALM + 2_000, BOUNDS.contactMs),
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'calls that are refused for longer',
    events: [...createSlowLinks(), ...refusedLong],
    violations: 1,
    excused: 0,
  },
  {
    name: 'calls that are recorded late',
    events: [
      ...createSlowLinks(),
      ...refusedLong,
      {at: CALM + 5_000, kind: 'recorderDelayed', delayMs: 500},
    ],
    violations: 0,
    excused: 1,
  },
  {
    name: 'links that are not slow',
    events: refusedLong,
    violations: 0,
    excused: 0,
  },
  {
    name: 'a VM that was paused',
    events: [
      ...createSlowLinks(),
      ...refusedLong,
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
      ...refusedLong,
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
