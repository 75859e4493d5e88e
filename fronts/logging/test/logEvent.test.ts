import type {HeartbeatAnswer} from '@gentianshunt/entryModel';
import {SchedulerError} from '@gentianshunt/errors';
import {toIdentifier} from '@gentianshunt/identifiers';
import t from 'tap';

import {
  createLogger,
  MAX_DETAIL_LINES_PER_SECOND,
  toLogRecord,
} from '../src/index.js';
import type {LogEvent, Logger} from '../src/index.js';

function createError(): SchedulerError {
  return new SchedulerError({
    code: 'ERR_EXAMPLE',
    message: 'it did not work',
    origin: {step: 'connect', peer: 'entry-1'},
  });
}

interface LoggerFixture {
  readonly logger: Logger;
  readonly lines: Readonly<Record<string, unknown>>[];
  setTime(ms: number): void;
}

function createLoggerFixture(): LoggerFixture {
  const lines: Readonly<Record<string, unknown>>[] = [];
  let time = 0;
  const logger = createLogger({
    node: 'entry-0',
    destination: {
      write: line => {
        lines.push(JSON.parse(line) as Readonly<Record<string, unknown>>);
      },
    },
    readTime: () => time,
  });
  return {
    logger,
    lines,
    setTime: ms => {
      time = ms;
    },
  };
}

function createDispatched(index: number): LogEvent {
  return {
    kind: 'entryDecided',
    decision: {
      kind: 'requestDispatched',
      request: `r${index}` as never,
      set: 'drafts' as never,
      organisation: 'lab' as never,
      rank: 2,
      endpoint: 'e1' as never,
      grant: 'drafts.3.9.1.0' as never,
      attempt: 1,
      waitedMs: 12.6,
      stateAgeMs: 430.2,
      isRepeatable: false,
      configurationVersion: 4,
    },
  };
}

t.test('an error is logged with its code, step and peer', async t => {
  t.same(toLogRecord({kind: 'peerLinkFailed', error: createError()}), {
    event: 'peerLinkFailed',
    code: 'ERR_EXAMPLE',
    step: 'connect',
    peer: 'entry-1',
    message: 'it did not work',
  });
});

t.test('a late event loop is logged with what the daemon received', async t => {
  const {logger, lines} = createLoggerFixture();
  const load = {
    maxLagMs: 2_310.4,
    queuedBytes: 12,
    largestQueueBytes: 8,
    observations: ['demandReport:512', 'requestReceived:4'],
  };
  logger.write({kind: 'loopDelayed', load});
  t.match(lines[0]!, {event: 'loopDelayed', ...load, maxLagMs: 2_310});
});

t.test('high memory is logged with what it is used for', async t => {
  const {logger, lines} = createLoggerFixture();
  const use = {
    limitBytes: 200,
    residentBytes: 170,
    heapBytes: 60,
    externalBytes: 80,
    requestBodyBytes: 50,
    answerBytes: 5,
    peerLinkBytes: 2,
  };
  logger.write({kind: 'memoryHigh', use});
  t.match(lines[0]!, {event: 'memoryHigh', ...use});
});

t.test('a sent call is logged with its age and its time left', async t => {
  const {logger, lines} = createLoggerFixture();
  logger.write({
    kind: 'callSent',
    request: 'r1',
    endpoint: 'e1',
    software: 'v2',
    resumes: 'r0',
    ageMs: 7_191.6,
    sinceDispatchMs: 3.2,
    timeLeftMs: -3_991.6,
  });
  t.match(lines[0]!, {
    event: 'callSent',
    request: 'r1',
    software: 'v2',
    resumes: 'r0',
    ageMs: 7_192,
    timeLeftMs: -3_992,
  });
});

t.test('quotes and line breaks in values are escaped', async t => {
  const {logger, lines} = createLoggerFixture();
  const error = new Error('a "quoted" text\nof two lines');
  logger.write({kind: 'diskFailed', error});
  t.equal(lines[0]!['message'], error.message);
  t.equal(lines[0]!['daemon'], 'entry-0');
});

t.test('a decision is logged with its inputs', async t => {
  const {logger, lines} = createLoggerFixture();
  logger.write(createDispatched(1));
  t.match(lines[0]!, {
    event: 'requestDispatched',
    request: 'r1',
    endpoint: 'e1',
    grant: 'drafts.3.9.1.0',
    waitedMs: 13,
    stateAgeMs: 430,
    configurationVersion: 4,
  });
});

t.test('surplus detail lines are dropped and counted', async t => {
  const {logger, lines, setTime} = createLoggerFixture();
  const surplus = 7;
  for (
    let index = 0;
    index < MAX_DETAIL_LINES_PER_SECOND + surplus;
    index += 1
  ) {
    logger.write(createDispatched(index));
  }
  logger.write({kind: 'daemonStopping', cause: 'SIGTERM'});
  t.equal(lines.length, MAX_DETAIL_LINES_PER_SECOND + 1);
  t.equal(lines.at(-1)!['event'], 'daemonStopping');
  setTime(1_000);
  logger.write(createDispatched(0));
  t.match(lines.at(-2)!, {event: 'linesDropped', count: surplus});
  t.match(lines.at(-1)!, {event: 'requestDispatched', request: 'r0'});
});

t.test('the limit of an endpoint keeps its fraction', async t => {
  const record = toLogRecord({
    kind: 'entryDecided',
    decision: {
      kind: 'endpointLimitNamed',
      set: toIdentifier('drafts'),
      endpoint: toIdentifier('e1'),
      perSecond: 2.8,
      before: null,
      rejectionsPerSecond: null,
    },
  });
  t.match(record, {event: 'endpointLimitNamed', perSecond: 2.8, before: null});
});

t.test('the last line of a process says why it ends', async t => {
  const {logger, lines} = createLoggerFixture();
  const error = createError();
  const cause = 'settingsInvalid';
  await logger.writeLast({kind: 'daemonStopped', exitCode: 2, cause, error});
  t.match(lines.at(-1), {
    event: 'daemonStopped',
    exitCode: 2,
    cause,
    step: 'connect',
    peer: 'entry-1',
  });
});

t.test('a logger for another daemon writes to the same output', async t => {
  const {logger, lines} = createLoggerFixture();
  logger.withNode('entry-1').write({kind: 'signalIgnored', signal: 'SIGUSR2'});
  t.match(lines, [{daemon: 'entry-1', signal: 'SIGUSR2'}]);
});

t.test('a fault is logged with the stack of its cause', async t => {
  const cause = new Error('example');
  const error = new SchedulerError({
    code: 'ERR_EXAMPLE',
    message: 'it did not work',
    origin: {step: 'connect', peer: 'entry-1'},
    cause,
  });
  t.match(toLogRecord({kind: 'faultDetected', error}), {stack: cause.stack});
});

t.test('the end of a change is logged with its reason', async t => {
  const {logger, lines} = createLoggerFixture();
  const change = {
    release: null,
    bytes: 132,
    outcome: 'refused',
    detail: 'routes.0.service: there is no service "nope"',
  } as const;
  logger.write({kind: 'changeEnded', ...change, durationMs: 1.4});
  t.match(lines[0]!, {event: 'changeEnded', ...change, durationMs: 1});
});

t.test(
  'the heartbeats of an entry without a lease are logged as words',
  async t => {
    const to = toIdentifier<never>('control-1');
    const leader = toIdentifier<never>('control-0');
    const answers: readonly HeartbeatAnswer[] = [
      {kind: 'none'},
      {kind: 'unused', afterMs: 640.2},
      {kind: 'notLeader', afterMs: 3, leader},
      {kind: 'notLeader', afterMs: 3, leader: null},
    ];
    const record = toLogRecord({
      kind: 'entryDecided',
      decision: {
        kind: 'leaseMissing',
        leader: null,
        configurationVersion: 5,
        missingMs: 1_000.4,
        cause: 'replyLate',
        heartbeats: answers.map(answer => ({to, ageMs: 900.6, answer})),
      },
    });
    t.match(record, {
      event: 'leaseMissing',
      missingMs: 1_000,
      cause: 'replyLate',
      heartbeats: [
        'control-1 901 none',
        'control-1 901 unused 640',
        'control-1 901 notLeader 3 control-0',
        'control-1 901 notLeader 3',
      ],
    });
  },
);

t.test('entries that lag behind a release are logged by name', async t => {
  const {logger, lines} = createLoggerFixture();
  const nodes = ['entry-1', 'entry-2'].map(toIdentifier<never>);
  logger.write({
    kind: 'controlDecided',
    decision: {
      kind: 'releaseLagging',
      release: 42,
      index: 311,
      sinceAppliedMs: 1_000.7,
      settlingMs: 0,
      lagging: 2,
      nodes,
    },
  });
  t.match(lines[0]!, {
    event: 'releaseLagging',
    sinceAppliedMs: 1_001,
    nodes: ['entry-1', 'entry-2'],
  });
});

t.test(
  'missing copies and waiting nodes are logged with their times',
  async t => {
    const node = toIdentifier<never>('control-2');
    const copies = toLogRecord({
      kind: 'controlDecided',
      decision: {
        kind: 'copiesMissing',
        voters: 3,
        copies: 2,
        commitIndex: 7,
        missing: [{node, missingMs: 1_200.4}],
      },
    });
    t.match(copies, {copies: 2, missing: ['control-2:1200']});
    const joins = toLogRecord({
      kind: 'controlDecided',
      decision: {
        kind: 'joinWaiting',
        waiting: 1,
        nodes: [{node, waitedMs: 1_000}],
      },
    });
    t.match(joins, {waiting: 1, nodes: ['control-2:1000']});
  },
);
