import {createLoadPlan} from '@gentianshunt/load';
import type {PlannedCall} from '@gentianshunt/load';

/** Tiers of the demonstration, in the order of their ranks. */
export const DEMO_TIERS = ['gold', 'silver', 'bronze'] as const;

const REQUESTS = 400;
const DURATION_MS = 6_000;
const SEED = 7;

/** Plans requests of three kinds; callers cancel over half of them. */
export function createDemoPlan(): readonly PlannedCall[] {
  return createLoadPlan({
    requests: REQUESTS,
    durationMs: DURATION_MS,
    seed: SEED,
    tiers: DEMO_TIERS,
    organisations: ['north-lab', 'north-lab', 'north-lab', 'south-lab'],
    runName: 'demo',
    classes: [
      {
        requestKind: 'draft',
        weight: 2,
        frequency: 9,
        target: {
          kind: 'chat',
          set: 'drafts',
          promptTokens: {from: 5, to: 250},
          maxTokens: {from: 5, to: 80},
        },
        cancelPercent: 75,
        patienceMs: {from: 5, to: 200},
      },
      {
        requestKind: 'summary',
        weight: 1,
        frequency: 9,
        target: {
          kind: 'chat',
          set: 'drafts',
          promptTokens: {from: 100, to: 2_500},
          maxTokens: {from: 5, to: 80},
        },
        cancelPercent: 75,
        patienceMs: {from: 5, to: 200},
      },
      {
        requestKind: 'issue-number',
        weight: 3,
        frequency: 2,
        target: {kind: 'service', set: 'registry', path: 'numbers'},
        cancelPercent: 0,
        patienceMs: {from: 1, to: 1},
      },
    ],
  });
}
