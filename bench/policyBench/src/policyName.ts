/** The baselines that Gentianshunt's policy is compared with. */
export const BASELINE_NAMES = [
  'roundRobinFifo',
  'leastLoadStale',
  'leastLoadStaleNoCancel',
  'tierFifo',
  'earliestDeadline',
  'newestFirst',
  'shortestFirst',
] as const;

/** The name of a baseline. */
export type BaselineName = (typeof BASELINE_NAMES)[number];

/** The policies that the bench runs; `gentianshunt` is the project's own. */
export const POLICY_NAMES = ['gentianshunt', ...BASELINE_NAMES] as const;

/** The name of a policy that the bench runs. */
export type PolicyName = (typeof POLICY_NAMES)[number];

/** Returns whether a text is the name of a policy. */
export function isPolicyName(text: string): text is PolicyName {
  return (POLICY_NAMES as readonly string[]).includes(text);
}

/** The baselines that queue requests and dispatch higher tiers first. */
export const TIER_PRIORITY_BASELINES: readonly BaselineName[] = [
  'tierFifo',
  'newestFirst',
  'shortestFirst',
];
