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
  /** All processes end at once; at most one disk is lost. */
  | {
      readonly kind: 'allEnded';
      readonly lost: Victim | null;
      readonly downMs: number;
    };

/** A disturbance and the time that passes after it. */
export interface ScenarioStep {
  readonly disturbance: Disturbance;
  /** Time from the end of the disturbance to the next one. */
  readonly pauseMs: number;
}

/** Disturbances in series, each after the group has recovered. */
export interface Scenario {
  readonly nodes: number;
  readonly steps: readonly ScenarioStep[];
}

/** After this time a node that is back no longer counts as lost. */
export const CATCH_UP_MS = 4_000;
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
        pauseMs: 0,
      },
    ],
  };
}

function drawStep(random: Random): ScenarioStep {
  const extraMs = random.drawInteger(0, 1) * MAX_EXTRA_PAUSE_MS;
  return {
    disturbance: drawDisturbance(random),
    pauseMs: CATCH_UP_MS + random.drawInteger(0, extraMs),
  };
}

function drawDisturbance(random: Random): Disturbance {
  const kind = random.drawFrom(KINDS);
  if (kind === 'allEnded') {
    const downMs = random.drawInteger(1, MAX_ALL_DOWN_MS);
    return {kind, lost: null, downMs};
  }
  const victim = random.drawFrom(VICTIMS);
  return {kind, victim, downMs: random.drawInteger(1, MAX_DOWN_MS)};
}
