import type {ProbeTarget, RecordedEvent} from '../src/index.js';
import {checkCases} from './checkCases.js';
import {
  createOrderAcknowledged,
  createOrderSent,
  createProbeRun,
  createRead,
  createVersion,
} from './configurationFixture.js';
import {CALM} from './historyFixture.js';

const REFUSED: ProbeTarget = {kind: 'refusedRoute'};

const held: readonly RecordedEvent[] = [
  ...createVersion(CALM - 10_000, 8),
  ...createVersion(CALM, 9),
];

checkCases('refusedDocuments', [
  {
    name: 'an invalid document that is acknowledged',
    events: [
      createOrderSent(CALM, 90, {form: 'invalid'}),
      createOrderAcknowledged(CALM + 10, 90, {form: 'invalid'}),
    ],
    violations: 1,
    excused: 0,
  },
  {
    name: 'an invalid document that is read back',
    events: [
      ...held,
      createOrderSent(CALM, 90, {form: 'invalid'}),
      createRead(CALM + 100, 90),
    ],
    violations: 1,
    excused: 0,
  },
  {
    name: 'other content under the version held that is read back',
    events: [
      ...held,
      createOrderSent(CALM + 50, 9, {form: 'otherContent'}),
      createOrderAcknowledged(CALM + 60, 9, {form: 'otherContent'}),
      createRead(CALM + 100, 9, {digest: 'other'}),
    ],
    violations: 1,
    excused: 0,
  },
  {
    name: 'other content that is acknowledged and changes nothing',
    events: [
      ...held,
      createOrderSent(CALM + 50, 9, {form: 'otherContent'}),
      createOrderAcknowledged(CALM + 60, 9, {form: 'otherContent'}),
      createRead(CALM + 100, 9),
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'a route that only refused documents have',
    events: [...held, ...createProbeRun(CALM, REFUSED, 's-safe')],
    violations: 1,
    excused: 0,
  },
]);

checkCases(
  'repeatedOrders',
  (['repeat', 'invalid'] as const).map((form, index) => ({
    name: `a refusal of ${form}`,
    events: [
      {
        at: CALM,
        kind: 'orderRefused',
        form,
        version: 8,
        vm: 'core-1',
        status: 409,
      },
    ],
    violations: 1 - index,
    excused: 0,
  })),
);

checkCases(
  'dataFolders',
  [64_000_001, 64_000_000].map((bytes, index) => ({
    name: `${bytes} bytes`,
    events: [
      {at: CALM, kind: 'dataFolderMeasured', vm: 'core-1', bytes},
      {at: CALM + 1, kind: 'dataFolderMeasured', vm: 'core-1', bytes},
    ],
    violations: 1 - index,
    excused: 0,
  })),
);
