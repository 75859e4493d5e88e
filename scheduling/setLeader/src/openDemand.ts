import type {Milliseconds} from '@gentianshunt/clock';
import type {
  DemandReportRecord,
  GrantsSinceReport,
  ReportedDecodeRate,
  ReportedFailures,
} from '@gentianshunt/entryModel';
import type {
  EndpointId,
  NodeId,
  OrganisationId,
} from '@gentianshunt/identifiers';
import {PROBE_FAILURE_RATE} from '@gentianshunt/policy';
import type {EndpointFailures, WaitingCount} from '@gentianshunt/policy';

import type {AllocatedSlot, EntryQueue} from './allocation.js';

/** Endpoints at which an entry has to fail at least to be taken for cut off. */
const MIN_DOUBTFUL_FAILURES = 2;

/** Counts the requests that remain waiting once the slots are used. */
export function countUnserved(
  queues: readonly EntryQueue[],
  slots: readonly AllocatedSlot[],
): readonly WaitingCount[] {
  const format = (
    node: NodeId,
    queue: {readonly rank: number; readonly organisation: OrganisationId},
  ): string => `${node}/${queue.rank}/${queue.organisation}`;
  const allocated = new Map<string, number>();
  for (const slot of slots) {
    const key = format(slot.node, slot);
    allocated.set(key, (allocated.get(key) ?? 0) + 1);
  }
  return queues.map(({node, queue: {rank, organisation, count}}) => ({
    node,
    rank,
    organisation,
    count: count - (allocated.get(format(node, {rank, organisation})) ?? 0),
  }));
}

/** Finds the highest tier of which requests remain; `null` if none do. */
export function findWaitingRank(
  unserved: readonly WaitingCount[],
): number | null {
  const ranks = unserved.filter(({count}) => count > 0).map(({rank}) => rank);
  return ranks.length === 0 ? null : Math.min(...ranks);
}

/**
 * Lists the reported queues without the requests that were granted a slot or
 * shed since the report.
 */
export function listOpenQueues(
  records: readonly DemandReportRecord[],
  granted: ReadonlyMap<NodeId, GrantsSinceReport>,
): readonly EntryQueue[] {
  return records.flatMap(({node, report}) =>
    report.waiting
      .map((queue): EntryQueue => {
        const handled = countHandled(granted.get(node), queue);
        const count = queue.count - handled;
        const ready = Math.max(0, queue.ready - handled);
        const readyEarly = Math.max(0, queue.readyEarly - handled);
        return {node, queue: {...queue, count, ready, readyEarly}};
      })
      .filter(({queue}) => queue.count > 0),
  );
}

function countHandled(
  granted: GrantsSinceReport | undefined,
  queue: {readonly rank: number; readonly organisation: OrganisationId},
): number {
  return [...(granted?.slots ?? []), ...(granted?.shed ?? [])]
    .filter(
      counted =>
        counted.rank === queue.rank &&
        counted.organisation === queue.organisation,
    )
    .reduce((sum, counted) => sum + counted.count, 0);
}

/** Returns the decoding rate of each endpoint that was observed last. */
export function mergeRates(
  records: readonly DemandReportRecord[],
): ReadonlyMap<EndpointId, Milliseconds> {
  const latest = new Map<EndpointId, ReportedDecodeRate>();
  for (const rate of records.flatMap(({report}) => report.rates)) {
    const known = latest.get(rate.endpoint);
    if (known === undefined || rate.ageMs < known.ageMs) {
      latest.set(rate.endpoint, rate);
    }
  }
  return new Map(
    [...latest.values()].map(rate => [rate.endpoint, rate.decodeMsPerToken]),
  );
}

/**
 * Merges the endpoint failures that the entries report: the highest failure
 * rate, and the number of entries that cannot reach the endpoint. An entry that
 * fails at most endpoints of the set is taken for cut off itself, and does not
 * count while another one uses the set without such failures.
 */
export function mergeEndpointFailures(
  records: readonly DemandReportRecord[],
  endpointCount: number,
): ReadonlyMap<EndpointId, EndpointFailures> {
  const summaries = new Map<EndpointId, EndpointFailures>();
  for (const {report} of listCredible(records, endpointCount)) {
    for (const failure of report.troubles ?? []) {
      const known = summaries.get(failure.endpoint);
      const unreachableBy = known?.unreachableBy ?? 0;
      const failingFor = known?.failingFor ?? 0;
      const isFailing = failure.failureShare >= PROBE_FAILURE_RATE;
      summaries.set(failure.endpoint, {
        failureRate: Math.max(known?.failureRate ?? 0, failure.failureShare),
        failingFor: failingFor + (isFailing ? 1 : 0),
        unreachableBy: unreachableBy + (failure.isUnreachable ? 1 : 0),
      });
    }
  }
  return summaries;
}

/** Lists the reports of entries that are not taken for cut off. */
function listCredible(
  records: readonly DemandReportRecord[],
  endpointCount: number,
): readonly DemandReportRecord[] {
  const limit = Math.max(MIN_DOUBTFUL_FAILURES, endpointCount / 2);
  const credible = records.filter(
    ({report}) => (report.troubles ?? []).filter(isFailing).length < limit,
  );
  const hasWitness = credible.some(({report}) => report.running.length > 0);
  return hasWitness ? credible : records;
}

function isFailing({failureShare, isUnreachable}: ReportedFailures): boolean {
  return isUnreachable || failureShare >= PROBE_FAILURE_RATE;
}

/** Lists the organisations that have waiting requests. */
export function listWaitingOrganisations(
  records: readonly DemandReportRecord[],
): ReadonlySet<OrganisationId> {
  return new Set(
    records.flatMap(({report}) =>
      report.waiting
        .filter(queue => queue.count > 0)
        .map(queue => queue.organisation),
    ),
  );
}
