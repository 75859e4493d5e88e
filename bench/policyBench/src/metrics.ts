import type {Profile} from './profile.js';
import type {RequestRecord} from './runRecorder.js';

/** Figures of one tier; the weight of a request is that of its kind. */
export interface TierSummary {
  readonly rank: number;
  /** Weight of the requests answered completely while the caller waited. */
  readonly goodput: number;
  /** Weight of the requests whose callers would wait if there were no queue. */
  readonly wanted: number;
  /** Number of requests that were shed. */
  readonly refused: number;
  readonly firstTokenMs: Percentiles;
}

/** Percentiles of durations in milliseconds; `null` if there are none. */
export interface Percentiles {
  readonly p50: number | null;
  readonly p95: number | null;
  readonly p99: number | null;
}

/** Figures of one run. */
export interface RunSummary {
  readonly requests: number;
  readonly answered: number;
  readonly abandoned: number;
  /** Requests that a failure, or a refusal other than shedding, ended. */
  readonly cut: number;
  readonly weightedGoodput: number;
  /** Prompt tokens processed for requests that were not answered. */
  readonly wastedPrefillTokens: number;
  /** Wasted tokens as a fraction of all processed prompt tokens. */
  readonly wastedPrefillShare: number;
  /** Requests shed while a request of a lower tier waited in the same set. */
  readonly tierOrderViolations: number;
  /**
   * Weighted fraction of the top tier's requests that were answered, among
   * those whose callers would wait if there were no queue.
   */
  readonly topTierGoodput: number;
  /** Lowest ratio, over small organisations, of goodput to fair share. */
  readonly smallOrgShare: number;
  readonly firstTokenMs: Percentiles;
  readonly tiers: readonly TierSummary[];
}

/** What a summary is computed from. */
export interface SummaryInput {
  readonly profile: Profile;
  readonly records: readonly RequestRecord[];
  readonly tierOrderViolations: number;
}

/** Organisations with less than this fraction of the arrivals are small. */
const SMALL_ORGANISATION_FRACTION = 0.1;

/** Computes the figures of a run from the records of its requests. */
export function createRunSummary(input: SummaryInput): RunSummary {
  const {records, profile} = input;
  const tiers = Array.from({length: profile.tierCount}, (_, index) =>
    createTierSummary(
      records.filter(({arrival}) => arrival.rank === index + 1),
      index + 1,
    ),
  );
  const prefill = sumPrefill(records);
  const wasted = sumPrefill(records.filter(record => !isAnswered(record)));
  return {
    requests: records.length,
    answered: countOutcomes(records, 'answered'),
    abandoned: countOutcomes(records, 'abandoned'),
    cut: countOutcomes(records, 'cut'),
    weightedGoodput: tiers.reduce((sum, tier) => sum + tier.goodput, 0),
    wastedPrefillTokens: Math.round(wasted),
    wastedPrefillShare: prefill === 0 ? 0 : wasted / prefill,
    tierOrderViolations: input.tierOrderViolations,
    topTierGoodput: computeTopTierGoodput(records),
    smallOrgShare: computeSmallOrgShare(profile, records),
    firstTokenMs: computeFirstTokenPercentiles(records),
    tiers,
  };
}

function createTierSummary(
  records: readonly RequestRecord[],
  rank: number,
): TierSummary {
  return {
    rank,
    goodput: sumGoodputWeight(records.filter(isAnswered)),
    wanted: sumGoodputWeight(records.filter(({arrival}) => arrival.wouldWait)),
    refused: countOutcomes(records, 'shed'),
    firstTokenMs: computeFirstTokenPercentiles(records),
  };
}

function computeTopTierGoodput(records: readonly RequestRecord[]): number {
  const wanted = records.filter(
    ({arrival}) => arrival.rank === 1 && arrival.wouldWait,
  );
  return sumGoodputWeight(wanted.filter(isAnswered)) / sumGoodputWeight(wanted);
}

function isAnswered({outcome}: RequestRecord): boolean {
  return outcome?.kind === 'answered';
}

function sumGoodputWeight(records: readonly RequestRecord[]): number {
  return records.reduce(
    (sum, {arrival}) => sum + arrival.kind.goodputWeight,
    0,
  );
}

function sumPrefill(records: readonly RequestRecord[]): number {
  return records.reduce((sum, {prefillTokens}) => sum + prefillTokens, 0);
}

function countOutcomes(
  records: readonly RequestRecord[],
  kind: string,
): number {
  return records.filter(({outcome}) => outcome?.kind === kind).length;
}

/**
 * Computes the lowest ratio of goodput to fair share among small organisations,
 * over the model set. In each tier the fair share of an organisation is the
 * lesser of the demand whose callers would wait if there were no queue and an
 * equal share of the tier's goodput. A small organisation rarely reaches an
 * equal share, so its fair share is as a rule all of that demand.
 */
function computeSmallOrgShare(
  profile: Profile,
  records: readonly RequestRecord[],
): number {
  const total = profile.organisations.reduce((sum, org) => sum + org.weight, 0);
  const smallOrganisations = profile.organisations.filter(
    ({weight}) => weight / total < SMALL_ORGANISATION_FRACTION,
  );
  const {set} = profile.kinds[0]!;
  const contended = records.filter(({arrival}) => arrival.kind.set === set);
  const ratios = smallOrganisations.map(({id}) => {
    let fairShare = 0;
    let received = 0;
    for (let rank = 1; rank <= profile.tierCount; rank += 1) {
      const tier = contended.filter(({arrival}) => arrival.rank === rank);
      const own = tier.filter(({arrival}) => arrival.organisation === id);
      const served = sumGoodputWeight(tier.filter(isAnswered));
      const wanted = sumGoodputWeight(
        own.filter(({arrival}) => arrival.wouldWait),
      );
      const equalShare = served / profile.organisations.length;
      fairShare += Math.min(wanted, equalShare);
      received += Math.min(
        sumGoodputWeight(own.filter(isAnswered)),
        Math.min(wanted, equalShare),
      );
    }
    return fairShare === 0 ? 1 : received / fairShare;
  });
  return Math.min(...ratios);
}

function computeFirstTokenPercentiles(
  records: readonly RequestRecord[],
): Percentiles {
  const times = records
    .filter(({firstTokenAt}) => firstTokenAt !== null)
    .map(({arrival, firstTokenAt}) => firstTokenAt! - arrival.at)
    .sort((left, right) => left - right);
  return {
    p50: computePercentile(times, 0.5),
    p95: computePercentile(times, 0.95),
    p99: computePercentile(times, 0.99),
  };
}

function computePercentile(
  sorted: readonly number[],
  fraction: number,
): number | null {
  const index = Math.ceil(sorted.length * fraction) - 1;
  return sorted[Math.max(0, index)] ?? null;
}
