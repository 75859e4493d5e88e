import type {RunSummary} from './metrics.js';
import {POLICY_NAMES, TIER_PRIORITY_BASELINES} from './policyName.js';
import type {PolicyName} from './policyName.js';
import {runPolicy} from './runPolicy.js';
import type {RunOptions} from './runPolicy.js';

/** A measured value in the form that every bench prints. */
export interface Metric {
  readonly value: number;
  readonly unit: string;
  /** The bound that the value has to meet; `null` if there is none. */
  readonly target: string | null;
}

/** Gentianshunt's policy compared with the baselines over the same arrivals. */
export interface PolicyComparison {
  readonly metrics: Readonly<Record<string, Metric>>;
  readonly policies: readonly PolicyResult[];
}

/** The figures of one policy. */
export interface PolicyResult {
  readonly policy: PolicyName;
  readonly summary: RunSummary;
}

const TOP_TIER_TARGET = '>= 0.99';
const SLOW_ENGINE_TOP_TIER_TARGET = '>= 0.97';
/** Highest load at which the time to the first token has a target. */
const MAX_LIGHT_LOAD = 0.7;

/** Runs Gentianshunt's policy and every baseline over the same arrivals. */
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
  const gentianshunt = find('gentianshunt');
  const leastLoad = find('leastLoadStale');
  const bestGoodput = Math.max(
    ...TIER_PRIORITY_BASELINES.map(name => find(name).weightedGoodput),
  );
  const slowed = options.fault === 'engineSlow';
  const overloaded = options.load > 1;
  const ttftP99Ratio = computeRatio(
    gentianshunt.firstTokenMs.p99,
    leastLoad.firstTokenMs.p99,
  );
  return {
    topTierGoodput: {
      value: gentianshunt.topTierGoodput,
      unit: 'ratio',
      target: slowed ? SLOW_ENGINE_TOP_TIER_TARGET : TOP_TIER_TARGET,
    },
    wastedPrefillRatio: {
      value: computeRatio(
        gentianshunt.wastedPrefillTokens,
        leastLoad.wastedPrefillTokens,
      ),
      unit: 'ratio',
      target: overloaded ? '<= 0.5' : null,
    },
    weightedGoodputRatio: {
      value: gentianshunt.weightedGoodput / bestGoodput,
      unit: 'ratio',
      target: overloaded ? '>= 1.25' : null,
    },
    tierOrderViolations: {
      value: gentianshunt.tierOrderViolations,
      unit: 'requests',
      target: '<= 0',
    },
    smallOrgShare: {
      value: gentianshunt.smallOrgShare,
      unit: 'ratio',
      target: '>= 0.9',
    },
    ttftP99Ratio: {
      value: ttftP99Ratio,
      unit: 'ratio',
      target: options.load <= MAX_LIGHT_LOAD ? '<= 1' : null,
    },
  };
}

/** Computes a ratio; a denominator below 1 counts as 1. */
function computeRatio(
  numerator: number | null,
  denominator: number | null,
): number {
  return (numerator ?? 0) / Math.max(1, denominator ?? 0);
}
