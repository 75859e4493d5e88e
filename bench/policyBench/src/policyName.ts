/** The baselines that the chosen policy is compared with. */
export const BASELINE_NAMES = [
  'roundRobinFifo',
  'leastLoadStale',
  'leastLoadStaleNoCancel',
  'tierFifo',
  'earliestDeadline',
  'newestFirst',
  'shortestFirst',
] as const;

/** A baseline. */
export type BaselineName = (typeof BASELINE_NAMES)[number];

/** Every policy the bench can run; `gentianshunt` is the chosen one. */
export const POLICY_NAMES = ['gentianshunt', ...BASELINE_NAMES] as const;

/** A policy the bench can run. */
export type PolicyName = (typeof POLICY_NAMES)[number];

/** Tells whether text names a policy. */
export function isPolicyName(text: string): text is PolicyName {
  return (POLICY_NAMES as readonly string[]).includes(text);
}

/** The baselines that hold requests and put higher tiers first. */
export const TIER_PRIORITY_BASELINES: readonly BaselineName[] = [
  'tierFifo',
  'newestFirst',
  'shortestFirst',
];
