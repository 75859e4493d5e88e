import {assertNever} from '@gentianshunt/errors';

import type {Random} from './randomFixture.js';

/** Which member a disturbance hits. */
export type Victim = 'leader' | 'oldest' | 'newest' | 'any';

/** The disturbance of a group that loses at most one disk. */
export type Disturbance =
  /** A node leaves for good; another one joins after `downMs`. */
  | {
      readonly kind: 'replaced';
      readonly victim: Victim;
      readonly downMs: number;
    }
  /** A process ends, its disk is lost; it starts again after `downMs`. */
  | {readonly kind: 'emptied'; readonly victim: Victim; readonly downMs: number}
  | {readonly kind: 'killed'; readonly victim: Victim; readonly downMs: number}
  | {readonly kind: 'cut'; readonly victim: Victim; readonly downMs: number}
  | {readonly kind: 'frozen'; readonly victim: Victim; readonly downMs: number}
  /** Half of the nodes and the other half do not reach each other. */
  | {readonly kind: 'halved'; readonly downMs: number}
  /** The leader is cut off while the processes of all others end and start. */
  | {readonly kind: 'leaderAlone'; readonly downMs: number}
  /** All processes end at once; at most one disk is lost. */
  | {
      readonly kind: 'allEnded';
      readonly lost: Victim | null;
      readonly downMs: number;
    };

/** What follows the end of a disturbance. */
export type Pause =
  | {readonly kind: 'calm'; readonly durationMs: number}
  /** All processes end `afterMs` later, whether the group has recovered or not. */
  | {
      readonly kind: 'allEnded';
      readonly afterMs: number;
      readonly downMs: number;
      readonly durationMs: number;
    };

/** A disturbance and the time that passes before the next one. */
export interface ScenarioStep {
  readonly disturbance: Disturbance;
  readonly pause: Pause;
}

/** Disturbances in series, each after the group has recovered. */
export interface Scenario {
  readonly nodes: number;
  readonly steps: readonly ScenarioStep[];
}

/** The group has a confirmed leader this long after losses that overlap. */
export const RECOVERY_MS = 12_000;
/** After this time a node that is back no longer counts as lost. */
export const CATCH_UP_MS = 4_000;
/** One of so many pauses is interrupted. */
const INTERRUPTED_IN = 5;
const MAX_EXTRA_PAUSE_MS = 3_000;
const MAX_STEPS = 7;
const MAX_DOWN_MS = 5_000;
const MAX_ALL_DOWN_MS = 1_000;
const VICTIMS = ['leader', 'oldest', 'newest', 'any'] as const;
const KINDS = [
  'replaced',
  'replaced',
  'replaced',
  'emptied',
  'emptied',
  'killed',
  'cut',
  'frozen',
  'halved',
  'leaderAlone',
  'allEnded',
] as const;

/** Draws a scenario; its last disturbance ends all processes at once. */
export function drawScenario(random: Random): Scenario {
  const count = random.drawInteger(1, MAX_STEPS);
  const steps = Array.from({length: count}, () => drawStep(random));
  return {
    nodes: random.drawInteger(3, 5),
    steps: [
      ...steps,
      {
        disturbance: {
          kind: 'allEnded',
          lost: random.drawFrom(VICTIMS),
          downMs: random.drawInteger(1, MAX_ALL_DOWN_MS),
        },
        pause: {kind: 'calm', durationMs: RECOVERY_MS},
      },
    ],
  };
}

function drawStep(random: Random): ScenarioStep {
  const disturbance = drawDisturbance(random);
  return {disturbance, pause: drawPause(random, disturbance)};
}

function drawPause(random: Random, {kind}: Disturbance): Pause {
  if (random.drawInteger(1, INTERRUPTED_IN) === 1) {
    return {
      kind: 'allEnded',
      afterMs: random.drawInteger(0, CATCH_UP_MS),
      downMs: random.drawInteger(1, MAX_ALL_DOWN_MS),
      durationMs: RECOVERY_MS,
    };
  }
  const extraMs = random.drawInteger(0, 1) * MAX_EXTRA_PAUSE_MS;
  const recoveryMs = kind === 'leaderAlone' ? RECOVERY_MS : CATCH_UP_MS;
  return {
    kind: 'calm',
    durationMs: recoveryMs + random.drawInteger(0, extraMs),
  };
}

function drawDisturbance(random: Random): Disturbance {
  const kind = random.drawFrom(KINDS);
  const downMs = random.drawInteger(1, MAX_DOWN_MS);
  switch (kind) {
    case 'allEnded':
      return {kind, lost: null, downMs: Math.min(downMs, MAX_ALL_DOWN_MS)};
    case 'halved':
    case 'leaderAlone':
      return {kind, downMs};
    case 'replaced':
    case 'emptied':
    case 'killed':
    case 'cut':
    case 'frozen':
      return {kind, victim: random.drawFrom(VICTIMS), downMs};
    default:
      return assertNever(kind, 'drawDisturbance');
  }
}
