import type {Milliseconds} from '@gentianshunt/clock';
import type {
  GrantedSince,
  ReportedRate,
  ReportRecord,
} from '@gentianshunt/entryModel';
import type {
  EndpointId,
  NodeId,
  OrganisationId,
} from '@gentianshunt/identifiers';
import type {TroubleVerdict, WaitingCount} from '@gentianshunt/policy';

import type {AllocatedSlot, EntryLine} from './allocation.js';

/** Counts what is left waiting once the slots are used. */
export function countLeft(
  lines: readonly EntryLine[],
  slots: readonly AllocatedSlot[],
): readonly WaitingCount[] {
  const format = (
    node: NodeId,
    line: {readonly rank: number; readonly organisation: OrganisationId},
  ): string => `${node}/${line.rank}/${line.organisation}`;
  const taken = new Map<string, number>();
  for (const slot of slots) {
    const key = format(slot.node, slot);
    taken.set(key, (taken.get(key) ?? 0) + 1);
  }
  return lines.map(({node, line: {rank, organisation, count}}) => ({
    node,
    rank,
    organisation,
    count: count - (taken.get(format(node, {rank, organisation})) ?? 0),
  }));
}

/** Lists the lines less what has been granted since the report. */
export function listOpenLines(
  records: readonly ReportRecord[],
  granted: ReadonlyMap<NodeId, GrantedSince>,
): readonly EntryLine[] {
  return records.flatMap(({node, report}) =>
    report.waiting
      .map(line => {
        const settled = countSettled(granted.get(node), line);
        const count = line.count - settled;
        const ready = Math.max(0, line.ready - settled);
        const readyEarly = Math.max(0, line.readyEarly - settled);
        return {node, line: {...line, count, ready, readyEarly}};
      })
      .filter(({line}) => line.count > 0),
  );
}

function countSettled(
  since: GrantedSince | undefined,
  line: {readonly rank: number; readonly organisation: OrganisationId},
): number {
  return [...(since?.slots ?? []), ...(since?.shed ?? [])]
    .filter(
      counted =>
        counted.rank === line.rank &&
        counted.organisation === line.organisation,
    )
    .reduce((sum, counted) => sum + counted.count, 0);
}

/** Takes each endpoint's latest observed rate among the entries. */
export function mergeRates(
  records: readonly ReportRecord[],
): ReadonlyMap<EndpointId, Milliseconds> {
  const latest = new Map<EndpointId, ReportedRate>();
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

/** Joins what the entries say went wrong at the endpoints. */
export function mergeTroubles(
  records: readonly ReportRecord[],
): ReadonlyMap<EndpointId, TroubleVerdict> {
  const verdicts = new Map<EndpointId, TroubleVerdict>();
  for (const {report} of records) {
    for (const trouble of report.troubles ?? []) {
      const known = verdicts.get(trouble.endpoint);
      const unreachableBy = known?.unreachableBy ?? 0;
      verdicts.set(trouble.endpoint, {
        failureShare: Math.max(known?.failureShare ?? 0, trouble.failureShare),
        unreachableBy: unreachableBy + (trouble.isUnreachable ? 1 : 0),
      });
    }
  }
  return verdicts;
}

/** Lists the organisations that have requests waiting, each once. */
export function listWaitingOrganisations(
  records: readonly ReportRecord[],
): ReadonlySet<OrganisationId> {
  return new Set(
    records.flatMap(({report}) =>
      report.waiting
        .filter(line => line.count > 0)
        .map(line => line.organisation),
    ),
  );
}
