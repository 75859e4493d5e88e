import t from 'tap';

import {
  advanceProcess,
  CANCELLED_START_LIMIT_MS,
  FAULT_DRAIN_LIMIT_MS,
  INITIAL_STATE,
  readExitCode,
} from '../src/index.js';
import type {
  EndCause,
  ProcessAction,
  ProcessEvent,
  ProcessPolicy,
} from '../src/index.js';

const ERROR = new Error('example');
const FAULT: EndCause = {kind: 'fault', error: ERROR};
const UNCAUGHT: ProcessEvent = {kind: 'errorUncaught', error: ERROR};
const STARTED: ProcessEvent = {kind: 'started'};
const LIMIT_REACHED: ProcessEvent = {kind: 'limitReached'};
const DRAINED: ProcessEvent = {kind: 'drained'};

function createPolicy(changes: Partial<ProcessPolicy> = {}): ProcessPolicy {
  return {repeatedStop: 'endAtOnce', reload: 'supported', ...changes};
}

function createSignal(signal: NodeJS.Signals): ProcessEvent {
  return {kind: 'signalReceived', signal};
}

function createSystemError(syscall: string, code: string): Error {
  return Object.assign(new Error(code), {syscall, code});
}

/** Lists the actions for events in order; an exit as its code. */
function listActions(
  events: readonly ProcessEvent[],
  policy = createPolicy(),
): readonly (ProcessAction['kind'] | number)[] {
  let state = INITIAL_STATE;
  return events.flatMap(event => {
    const next = advanceProcess(policy, state, event);
    state = next.state;
    return next.actions.map(action =>
      action.kind === 'exit' ? readExitCode(action.cause) : action.kind,
    );
  });
}

const cases: readonly {
  readonly name: string;
  readonly events: readonly ProcessEvent[];
  readonly policy?: ProcessPolicy;
  readonly actions: readonly (ProcessAction['kind'] | number)[];
}[] = [
  {
    name: 'a reload requested during the start follows it',
    events: [createSignal('SIGHUP'), createSignal('SIGHUP'), STARTED],
    actions: ['reload'],
  },
  {
    name: 'a stop during the start cancels it',
    events: [
      createSignal('SIGTERM'),
      {kind: 'startFailed', cause: {kind: 'startFailed', error: ERROR}},
    ],
    actions: ['cancelStart', 'limitTime', 0],
  },
  {
    name: 'a stop at the end of the start drains',
    events: [createSignal('SIGTERM'), STARTED, DRAINED],
    actions: ['cancelStart', 'limitTime', 'drain', 0],
  },
  {
    name: 'a cancelled start that does not end is left',
    events: [createSignal('SIGINT'), LIMIT_REACHED],
    actions: ['cancelStart', 'limitTime', 0],
  },
  {
    name: 'a stop drains',
    events: [STARTED, createSignal('SIGQUIT'), LIMIT_REACHED, DRAINED],
    actions: ['drain', 0],
  },
  {
    name: 'a second stop ends at once',
    events: [STARTED, createSignal('SIGTERM'), createSignal('SIGTERM')],
    actions: ['drain', 23],
  },
  {
    name: 'a second stop is ignored where a supervisor kills',
    events: [STARTED, createSignal('SIGTERM'), createSignal('SIGTERM')],
    policy: createPolicy({repeatedStop: 'keepDraining'}),
    actions: ['drain', 'recordIgnoredSignal'],
  },
  {
    name: 'other signals are ignored',
    events: [
      createSignal('SIGUSR1'),
      STARTED,
      createSignal('SIGUSR2'),
      createSignal('SIGALRM'),
    ],
    actions: Array<'recordIgnoredSignal'>(3).fill('recordIgnoredSignal'),
  },
  {
    name: 'a reload is ignored where it is not supported',
    events: [STARTED, createSignal('SIGHUP')],
    policy: createPolicy({reload: 'unsupported'}),
    actions: ['recordIgnoredSignal'],
  },
  {
    name: 'a fault drains within a limit, however many follow',
    events: [STARTED, UNCAUGHT, UNCAUGHT, LIMIT_REACHED],
    actions: ['recordFault', 'limitTime', 'drain', 'recordFault', 22],
  },
  {
    name: 'a fault limits a shutdown in progress',
    events: [STARTED, createSignal('SIGTERM'), UNCAUGHT, DRAINED],
    actions: ['drain', 'recordFault', 'limitTime', 22],
  },
  {
    name: 'a fault during the start ends it',
    events: [{kind: 'partFailed', cause: FAULT}],
    actions: [22],
  },
  {
    name: 'a failed disk ends at once',
    events: [
      STARTED,
      {kind: 'partFailed', cause: {kind: 'storageFailed', error: ERROR}},
      UNCAUGHT,
      createSignal('SIGTERM'),
    ],
    actions: [3],
  },
  {
    name: 'an error of one connection ends nothing',
    events: [
      STARTED,
      {
        kind: 'errorUncaught',
        error: createSystemError('read', 'ECONNRESET'),
      },
    ],
    actions: ['recordConnectionError'],
  },
  {
    name: 'an error of a file is a fault',
    events: [
      STARTED,
      {kind: 'errorUncaught', error: createSystemError('write', 'ENOSPC')},
    ],
    actions: ['recordFault', 'limitTime', 'drain'],
  },
];

for (const {name, events, policy, actions} of cases) {
  t.test(name, async t => {
    t.same(listActions(events, policy), actions);
  });
}

t.test(
  'the limits are those of the cancelled start and of a fault',
  async t => {
    const stop = createSignal('SIGTERM');
    const {actions} = advanceProcess(createPolicy(), INITIAL_STATE, stop);
    t.match(actions[1], {limitMs: CANCELLED_START_LIMIT_MS});
    const running = {kind: 'running'} as const;
    const fault = advanceProcess(createPolicy(), running, UNCAUGHT);
    t.match(fault.actions[1], {limitMs: FAULT_DRAIN_LIMIT_MS});
  },
);
