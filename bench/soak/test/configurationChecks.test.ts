import {BOUNDS} from '../src/index.js';
import type {ProbeTarget, RecordedEvent} from '../src/index.js';
import {checkCases} from './checkCases.js';
import {
  createOrderSent,
  createProbeAnswer,
  createProbeRun,
  createRead,
  createVersion,
} from './configurationFixture.js';
import {CALM, createSignal} from './historyFixture.js';

const MOVING: ProbeTarget = {kind: 'movingRoute'};
const ROUTE: ProbeTarget = {kind: 'extraRoute', index: 2};
const KEY: ProbeTarget = {kind: 'extraKey', index: 1};

/** Later than the apply time after a version that is acknowledged at `CALM`. */
const APPLIED = CALM + BOUNDS.configApplyMs + 1;

/** A version whose moving route leads elsewhere than that of the one before. */
const moved: readonly RecordedEvent[] = [
  ...createVersion(CALM - 10_000, 8, {movingService: 's-safe'}),
  ...createVersion(CALM, 9, {movingService: 's-unsafe'}),
];

/** A version without the route and the key of the one before. */
const withdrawn: readonly RecordedEvent[] = [
  ...createVersion(CALM - 10_000, 8, {extraRoutes: [2], extraKeys: [1]}),
  ...createVersion(CALM, 9),
];

/** A version with a route and a key that the one before does not have. */
const added: readonly RecordedEvent[] = [
  ...createVersion(CALM - 10_000, 8),
  ...createVersion(CALM, 9, {extraRoutes: [2], extraKeys: [1]}),
];

/** A kill of a VM of the core after the acknowledgement, and its start. */
const killedCore: readonly RecordedEvent[] = [
  createSignal(CALM + 6_000, 'core-1', 'SIGKILL'),
];

checkCases('obeyedVersions', [
  {
    name: 'a route that leads to the old service',
    events: [...moved, ...createProbeRun(APPLIED, MOVING, 's-safe')],
    violations: 1,
    excused: 0,
  },
  {
    name: 'a route that leads to the old service within the apply time',
    events: [...moved, ...createProbeRun(APPLIED - 1, MOVING, 's-safe')],
    violations: 0,
    excused: 0,
  },
  {
    name: 'a route that leads to the new service',
    events: [...moved, ...createProbeRun(APPLIED, MOVING, 's-unsafe')],
    violations: 0,
    excused: 0,
  },
  {
    name: 'a route that leads where a newer version without an answer says',
    events: [
      ...moved,
      createOrderSent(CALM + 100, 10),
      ...createProbeRun(APPLIED, MOVING, 's-safe'),
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'an old service at a VM that was paused',
    events: [
      ...moved,
      createSignal(CALM - 500, 'plain-1', 'SIGSTOP'),
      createSignal(CALM + 500, 'plain-1', 'SIGCONT'),
      ...createProbeRun(APPLIED, MOVING, 's-safe'),
    ],
    violations: 0,
    excused: 1,
  },
  {
    name: 'an old service while the core is not stable',
    events: [
      ...moved,
      ...killedCore,
      ...createProbeRun(CALM + 7_000, MOVING, 's-safe'),
    ],
    violations: 0,
    excused: 1,
  },
  {
    name: 'an old service beyond the stretched bound of an unstable core',
    events: [
      ...moved,
      ...killedCore,
      ...createProbeRun(CALM + 7_001, MOVING, 's-safe'),
    ],
    violations: 1,
    excused: 0,
  },
  {
    name: 'a withdrawn route that is still served',
    events: [...withdrawn, ...createProbeRun(APPLIED, ROUTE, 's-safe')],
    violations: 1,
    excused: 0,
  },
  {
    name: 'a withdrawn key that is still served, twice',
    events: [
      ...withdrawn,
      ...createProbeRun(APPLIED, KEY, 's-safe'),
      ...createProbeRun(APPLIED + 100, KEY, 's-safe'),
    ],
    violations: 1,
    excused: 0,
  },
  {
    name: 'an added route that is not known',
    events: [...added, ...createProbeAnswer(APPLIED, ROUTE, 404)],
    violations: 1,
    excused: 0,
  },
  {
    name: 'an added key that is not known',
    events: [...added, ...createProbeAnswer(APPLIED, KEY, 401)],
    violations: 1,
    excused: 0,
  },
  {
    name: 'a call that is refused for another reason',
    events: [...added, ...createProbeAnswer(APPLIED, ROUTE, 503)],
    violations: 0,
    excused: 0,
  },
]);

checkCases('configurationReads', [
  {
    name: 'an older version, at a VM that was paused',
    events: [
      ...moved,
      createSignal(CALM - 500, 'plain-1', 'SIGSTOP'),
      createSignal(CALM + 500, 'plain-1', 'SIGCONT'),
      createRead(APPLIED, 8),
    ],
    violations: 1,
    excused: 0,
  },
  {
    name: 'an older version within the apply time',
    events: [...moved, createRead(APPLIED - 1, 8)],
    violations: 0,
    excused: 0,
  },
  {
    name: 'the newest version, or no answer',
    events: [...moved, createRead(APPLIED, 9), createRead(APPLIED, null)],
    violations: 0,
    excused: 0,
  },
]);

checkCases('addedRoutes', [
  {
    name: 'an added route that is refused, unlike the first one',
    events: [
      ...added,
      ...createProbeRun(APPLIED, {kind: 'fixedRoute'}, 's-safe'),
      ...createAnswers(20, ROUTE, 503),
    ],
    violations: 1,
    excused: 0,
  },
  {
    name: 'both refused',
    events: [
      ...added,
      ...createProbeAnswer(APPLIED, {kind: 'fixedRoute'}, 503),
      ...createAnswers(20, ROUTE, 503),
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'few calls',
    events: [
      ...added,
      ...createProbeRun(APPLIED, {kind: 'fixedRoute'}, 's-safe'),
      ...createAnswers(19, ROUTE, 503),
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'a route that a newer version may have taken away',
    events: [
      ...added,
      createOrderSent(CALM + 100, 10),
      ...createProbeRun(APPLIED, {kind: 'fixedRoute'}, 's-safe'),
      ...createAnswers(20, ROUTE, 503),
    ],
    violations: 0,
    excused: 0,
  },
]);

function createAnswers(
  count: number,
  target: ProbeTarget,
  status: number,
): readonly RecordedEvent[] {
  return Array.from({length: count}, (_, index) =>
    createProbeAnswer(APPLIED + 20 * (index + 1), target, status),
  ).flat();
}

const seenNew = createProbeRun(CALM + 100, MOVING, 's-unsafe');
/** Later than the slack after the effect of the new version was seen. */
const SLACK_OVER = CALM + 105 + BOUNDS.rollbackSlackMs + 1;

checkCases('regressions', [
  {
    name: 'the old service after the new one',
    events: [
      ...moved,
      ...seenNew,
      ...createProbeRun(SLACK_OVER, MOVING, 's-safe'),
    ],
    violations: 1,
    excused: 0,
  },
  {
    name: 'the old service within the slack',
    events: [
      ...moved,
      ...seenNew,
      ...createProbeRun(SLACK_OVER - 1, MOVING, 's-safe'),
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'the old service within eight times the slack on a slowed VM',
    events: [
      ...moved,
      {
        at: CALM - 1_000,
        kind: 'linkFaulted',
        from: 'plain-1',
        to: 'core-1',
        fault: 'delayed',
      },
      ...seenNew,
      ...createProbeRun(SLACK_OVER, MOVING, 's-safe'),
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'the old service at another VM',
    events: [
      ...moved,
      ...seenNew,
      ...createProbeRun(SLACK_OVER, MOVING, 's-safe', 'plain-2'),
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'the old service after a restart',
    events: [
      ...moved,
      ...seenNew,
      createSignal(CALM + 200, 'plain-1', 'SIGKILL'),
      {
        at: CALM + 201,
        kind: 'vmEnded',
        vm: 'plain-1',
        pid: 3,
        result: 'SIGKILL',
        isAsked: true,
      },
      {
        at: CALM + 300,
        kind: 'vmStarted',
        vm: 'plain-1',
        cause: 'scheduled',
        pid: 9,
      },
      ...createProbeRun(SLACK_OVER, MOVING, 's-safe'),
    ],
    violations: 0,
    excused: 0,
  },
]);

const REVOKED = CALM + BOUNDS.revokeMs + 1;

checkCases('revokedKeys', [
  {
    name: 'a run with a revoked key, at a VM that was paused',
    events: [
      ...withdrawn,
      createSignal(CALM - 500, 'plain-1', 'SIGSTOP'),
      createSignal(REVOKED - 500, 'plain-1', 'SIGCONT'),
      ...createProbeRun(REVOKED, KEY, 's-safe'),
    ],
    violations: 1,
    excused: 0,
  },
  {
    name: 'a run with a revoked key within the revocation time',
    events: [...withdrawn, ...createProbeRun(REVOKED - 1, KEY, 's-safe')],
    violations: 0,
    excused: 0,
  },
  {
    name: 'a run with a key that a newer version has again',
    events: [
      ...withdrawn,
      createOrderSent(CALM + 100, 10, {content: {extraKeys: [1]}}),
      ...createProbeRun(REVOKED, KEY, 's-safe'),
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'a run on a withdrawn route',
    events: [...withdrawn, ...createProbeRun(REVOKED, ROUTE, 's-safe')],
    violations: 0,
    excused: 0,
  },
]);
