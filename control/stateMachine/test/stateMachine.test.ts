import {
  array,
  assert,
  constant,
  constantFrom,
  integer,
  oneof,
  property,
  record,
} from 'fast-check';
import type {Arbitrary} from 'fast-check';
import t from 'tap';

import {createControlLoop, defineController} from '@gentianshunt/board';
import {createManualClock} from '@gentianshunt/clock';
import {
  createControlSections,
  DEFAULT_LOG_BOUNDS,
} from '@gentianshunt/controlModel';
import type {
  ControlEffect,
  ControlObservation,
  ControlSections,
} from '@gentianshunt/controlModel';
import {EMPTY_TOTALS} from '@gentianshunt/messages';
import type {LogPayload} from '@gentianshunt/messages';
import {toIdentifier} from '@gentianshunt/identifiers';

import {
  CLAIM_RETENTION_MS,
  createStateMachineController,
  STATE_SECTIONS,
} from '../src/index.js';

const SEED = 20261204;
const PROPERTY_RUNS = 150;

/** Creates a fake log controller that commits one group of payloads a turn. */
function createFakeLog(groups: readonly (readonly LogPayload[])[]) {
  let index = 0;
  const remaining = [...groups];
  return defineController<
    ControlSections,
    ControlObservation,
    ControlEffect,
    never,
    'log' | 'logStatus'
  >({
    name: 'log',
    reads: [],
    writes: ['log', 'logStatus'],
    observes: ['timerDue'],
    run: () => {
      const payloads = remaining.shift() ?? [];
      const entries = payloads.map(payload => {
        index += 1;
        const value = {index, term: 1, payload};
        return {kind: 'put', section: 'log', key: index, value} as const;
      });
      const status = {
        base: {index: 0, term: 0},
        lastIndex: index,
        lastTerm: 1,
        syncedIndex: index,
        commitIndex: index,
      };
      return [...entries, {kind: 'set', section: 'logStatus', value: status}];
    },
  });
}

/** Applies groups of payloads, one a turn, and lists the resulting state. */
function applyGroups(groups: readonly (readonly LogPayload[])[]): unknown {
  const loop = createControlLoop<
    ControlSections,
    ControlObservation,
    ControlEffect
  >({
    sections: createControlSections({
      node: toIdentifier('c0'),
      bootstrapMembers: [toIdentifier('c0')],
      admission: {kind: 'listed'},
      storage: toIdentifier('folder'),
      seed: 1,
      releaseApplyMs: 2_000,
      logBounds: DEFAULT_LOG_BOUNDS,
    }),
    controllers: [createFakeLog(groups), createStateMachineController()],
    clock: createManualClock(),
    perform: () => undefined,
  });
  for (let turn = 0; turn < groups.length; turn += 1) {
    loop.post({kind: 'timerDue', timer: {kind: 'sessions'}});
  }
  return STATE_SECTIONS.map(name => listSection(loop.view[name]));
}

function listSection(view: unknown): unknown {
  if (view instanceof Map) {
    return [...view].sort(([left], [right]) => (left < right ? -1 : 1));
  }
  const ordered = view as {iterateFrom?: () => Iterable<unknown>};
  return ordered.iterateFrom === undefined ? view : [...ordered.iterateFrom()];
}

function createIds(...names: readonly string[]) {
  return constantFrom(...names.map(name => toIdentifier<never>(name)));
}

function createPayloads(): Arbitrary<LogPayload> {
  const atMs = integer({min: 0, max: 3}).map(day => day * CLAIM_RETENTION_MS);
  const request = createIds('a', 'b', 'c');
  const key = record({
    organisation: createIds('o'),
    idempotencyKey: constantFrom('a', 'b', 'c'),
  });
  const node = createIds('n1', 'n2');
  const incarnation = createIds('i1', 'i2');
  return oneof(
    record({
      kind: constant('command' as const),
      setsInUse: constant([]),
      command: createOperatorCommands(),
    }),
    record({
      kind: constant('claim' as const),
      key,
      digest: constant('d'),
      node,
      incarnation,
      request,
      atMs,
    }),
    record({
      kind: constant('settleClaim' as const),
      key,
      request,
      outcome: constantFrom(
        {kind: 'notRun' as const},
        {kind: 'unknown' as const},
        {kind: 'answeredNotKept' as const, status: 200},
      ),
      atMs,
    }),
    record({
      kind: constant('loseClaims' as const),
      node,
      keep: oneof(constant(null), incarnation),
      atMs,
    }),
    record({kind: constant('expireClaims' as const), atMs}),
    record({kind: constant('assignSetLeader' as const), set: request, node}),
    record({
      kind: constant('countReport' as const),
      node,
      atMs,
      report: record({
        incarnation,
        sequence: integer({min: 1, max: 4}),
        counts: constant([createCount()]),
      }),
    }),
  );
}

function createCount() {
  return {
    key: {
      month: toIdentifier<never>('2026-12'),
      tier: toIdentifier<never>('gold'),
      organisation: toIdentifier<never>('o'),
      kind: toIdentifier<never>('k'),
    },
    totals: {...EMPTY_TOTALS, answered: 1},
  };
}

function createOperatorCommands() {
  return record({
    number: integer({min: 1, max: 6}),
    operator: createIds('anna'),
    digest: constantFrom('a', 'b'),
    commands: array(createCommands(), {minLength: 1, maxLength: 3}),
  });
}

function createCommands() {
  const id = createIds('a', 'b', 'c');
  const expectedRevision = constantFrom(null, null, 0, 1);
  return oneof(
    record({
      kind: constant('put' as const),
      expectedRevision,
      object: record({
        kind: constant('endpointSet' as const),
        id,
        revision: constant(0),
        region: createIds('r'),
        service: constant({kind: 'plain' as const, service: 's'}),
      }),
    }),
    record({
      kind: constant('put' as const),
      expectedRevision,
      object: record({
        kind: constant('tier' as const),
        id,
        revision: constant(0),
        rank: integer({min: 1, max: 3}),
        weight: constant(1),
        firstTokenTargetMs: constant(1),
        objective: constant(0.9),
      }),
    }),
    record({
      kind: constant('delete' as const),
      expectedRevision,
      key: createIds('tier/a', 'endpointSet/a', 'endpointSet/b'),
    }),
  );
}

t.test(
  'equal logs give equal states, however entries are grouped into turns',
  async t => {
    const logs = array(array(createPayloads(), {maxLength: 6}), {maxLength: 8});
    assert(
      property(logs, groups => {
        const payloads = groups.flat();
        const state = applyGroups(groups.filter(group => group.length > 0));
        t.strictSame(state, applyGroups(payloads.map(payload => [payload])));
        const whole = payloads.length === 0 ? [] : [payloads];
        t.strictSame(state, applyGroups(whole));
      }),
      {seed: SEED, numRuns: PROPERTY_RUNS},
    );
  },
);

function createReplacement(version: number, host: string): LogPayload {
  return {
    kind: 'replaceConfiguration',
    replacement: {
      version,
      objects: [
        {
          kind: 'release',
          id: 'default',
          revision: 0,
          version,
          callerLimits: null,
        },
      ],
      source: Buffer.from(host),
    },
  };
}

/** Returns the version and document in the state after the payloads. */
function readSource(payloads: readonly LogPayload[]): string {
  const state = applyGroups([payloads]) as readonly unknown[];
  const source = state[STATE_SECTIONS.indexOf('source')] as {
    readonly version: number;
    readonly document: Uint8Array;
  };
  return `${source.version} ${Buffer.from(source.document).toString()}`;
}

const replacementRows: readonly {
  readonly name: string;
  readonly versions: readonly (readonly [number, string])[];
  readonly expected: string;
}[] = [
  {name: 'the first one is applied', versions: [[2, 'a']], expected: '2 a'},
  {
    name: 'a higher one replaces it',
    versions: [
      [2, 'a'],
      [9, 'b'],
    ],
    expected: '9 b',
  },
  {
    name: 'an older one changes nothing',
    versions: [
      [9, 'b'],
      [2, 'a'],
    ],
    expected: '9 b',
  },
  {
    name: 'other content under the same version changes nothing',
    versions: [
      [9, 'b'],
      [9, 'c'],
    ],
    expected: '9 b',
  },
];

for (const {name, versions, expected} of replacementRows) {
  t.test(`replacements: ${name}`, async t => {
    const payloads = versions.map(([version, host]) =>
      createReplacement(version, host),
    );
    t.equal(readSource(payloads), expected);
  });
}
