import type {RunSummary} from './metrics.js';
import {POLICY_NAMES, TIER_KEEPING_BASELINES} from './policyName.js';
import type {PolicyName} from './policyName.js';
import {runPolicy} from './runPolicy.js';
import type {RunOptions} from './runPolicy.js';

/** One figure as every bench prints it. */
export interface Metric {
  readonly value: number;
  readonly unit: string;
  readonly target: string | null;
}

/** The figures of the chosen policy against the baselines of the same run. */
export interface PolicyComparison {
  readonly metrics: Readonly<Record<string, Metric>>;
  readonly policies: readonly PolicyResult[];
}

/** One policy's figures. */
export interface PolicyResult {
  readonly policy: PolicyName;
  readonly summary: RunSummary;
}

const TOP_TIER_TARGET = '>= 0.99';
const SLOWED_TOP_TIER_TARGET = '>= 0.97';
const LIGHT_LOAD = 0.7;

/** Runs the chosen policy and every baseline over the same arrivals. */
export function comparePolicies(
  options: Omit<RunOptions, 'policy'>,
): PolicyComparison {
  const policies = POLICY_NAMES.map(policy => ({
    policy,
    summary: runPolicy({...options, policy}),
  }));
  return {metrics: listMetrics(options, policies), policies};
}

function listMetrics(
  options: Omit<RunOptions, 'policy'>,
  results: readonly PolicyResult[],
): Readonly<Record<string, Metric>> {
  const find = (policy: PolicyName): RunSummary =>
    results.find(result => result.policy === policy)!.summary;
  const chosen = find('gentianshunt');
  const stale = find('leastLoadStale');
  const bestGoodput = Math.max(
    ...TIER_KEEPING_BASELINES.map(name => find(name).weightedGoodput),
  );
  const slowed = options.fault === 'engineSlow';
  const overloaded = options.load > 1;
  const ttft = divide(chosen.firstTokenMs.p99, stale.firstTokenMs.p99);
  return {
    topTierGoodput: {
      value: chosen.topTierGoodput,
      unit: 'ratio',
      target: slowed ? SLOWED_TOP_TIER_TARGET : TOP_TIER_TARGET,
    },
    wastedPrefillRatio: {
      value: divide(chosen.wastedPrefillTokens, stale.wastedPrefillTokens),
      unit: 'ratio',
      target: overloaded ? '<= 0.5' : null,
    },
    weightedGoodputRatio: {
      value: chosen.weightedGoodput / bestGoodput,
      unit: 'ratio',
      target: overloaded ? '>= 1.25' : null,
    },
    tierOrderViolations: {
      value: chosen.tierOrderViolations,
      unit: 'requests',
      target: '<= 0',
    },
    smallOrgShare: {
      value: chosen.smallOrgShare,
      unit: 'ratio',
      target: '>= 0.9',
    },
    ttftP99Ratio: {
      value: ttft,
      unit: 'ratio',
      target: options.load <= LIGHT_LOAD ? '<= 1' : null,
    },
  };
}

function divide(left: number | null, right: number | null): number {
  return (left ?? 0) / Math.max(1, right ?? 0);
}
