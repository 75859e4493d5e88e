import {assertNever} from '@gentianshunt/errors';

import type {ConfigurationLoad} from './configurationLoad.js';
import type {ScheduledAction} from './scheduledAction.js';

/** A stretch of a run in which certain actions are frequent. */
export interface Phase {
  readonly name: string;
  readonly meanIntervalMs: number;
  readonly choices: readonly Choice[];
}

interface Choice {
  readonly kind: ScheduledAction['kind'];
  readonly weight: number;
}

const PHASES: readonly Phase[] = [
  {
    name: 'mixed',
    meanIntervalMs: 1_200,
    choices: [
      {kind: 'kill', weight: 3},
      {kind: 'terminate', weight: 3},
      {kind: 'pause', weight: 3},
      {kind: 'reload', weight: 2},
      {kind: 'changeSettings', weight: 2},
      {kind: 'faultLink', weight: 4},
      {kind: 'configure', weight: 1},
      {kind: 'sendBodies', weight: 1},
      {kind: 'killCore', weight: 0.6},
    ],
  },
  {
    name: 'planned',
    meanIntervalMs: 1_500,
    choices: [
      {kind: 'terminate', weight: 4},
      {kind: 'reload', weight: 4},
      {kind: 'changeSettings', weight: 2},
      {kind: 'configure', weight: 2},
    ],
  },
  {
    name: 'pauses',
    meanIntervalMs: 1_500,
    choices: [
      {kind: 'pause', weight: 8},
      {kind: 'reload', weight: 1},
      {kind: 'configure', weight: 1},
    ],
  },
  {
    name: 'links',
    meanIntervalMs: 1_000,
    choices: [
      {kind: 'faultLink', weight: 8},
      {kind: 'terminate', weight: 1},
      {kind: 'pause', weight: 1},
      {kind: 'configure', weight: 1},
    ],
  },
  {
    name: 'bodies',
    meanIntervalMs: 2_000,
    choices: [
      {kind: 'sendBodies', weight: 4},
      {kind: 'reload', weight: 1},
      {kind: 'faultLink', weight: 1},
    ],
  },
];

const CONFIGURATION_PHASES: readonly Phase[] = [
  ...PHASES,
  {
    name: 'disks',
    meanIntervalMs: 4_000,
    choices: [
      {kind: 'loseDisk', weight: 4},
      {kind: 'kill', weight: 2},
      {kind: 'faultLink', weight: 1},
    ],
  },
];

const LARGE_DOCUMENT_PHASES: readonly Phase[] = [
  {
    name: 'largeDocuments',
    meanIntervalMs: 6_000,
    choices: [
      {kind: 'loseDisk', weight: 3},
      {kind: 'kill', weight: 2},
      {kind: 'killCore', weight: 1},
      {kind: 'pause', weight: 1},
      {kind: 'faultLink', weight: 1},
    ],
  },
];

/** Lists the phases that the schedule of a load is drawn from. */
export function listPhases(load: ConfigurationLoad): readonly Phase[] {
  switch (load) {
    case 'scheduled':
      return PHASES;
    case 'operators':
      return CONFIGURATION_PHASES;
    case 'largeDocuments':
      return LARGE_DOCUMENT_PHASES;
    default:
      return assertNever(load, 'listPhases');
  }
}
