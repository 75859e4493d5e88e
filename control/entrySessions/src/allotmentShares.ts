import type {EntrySession} from '@gentianshunt/controlModel';
import type {NodeId, OrganisationId} from '@gentianshunt/identifiers';
import type {AllotmentShare, TokenDemand} from '@gentianshunt/messages';

/** Part of an allotment that is spread evenly, for demand not yet seen. */
export const EVEN_PART = 0.15;

/** Adds up what all entries ask for. */
export function sumDemands(
  sessions: ReadonlyMap<NodeId, EntrySession>,
): ReadonlyMap<OrganisationId, number> {
  const totals = new Map<OrganisationId, number>();
  for (const {demands} of sessions.values()) {
    for (const {organisation, tokensPerSecond} of demands) {
      const total = totals.get(organisation) ?? 0;
      totals.set(organisation, total + tokensPerSecond);
    }
  }
  return totals;
}

/** Divides allotments by demand, for one of a number of entries. */
export function divideAllotments(
  demands: readonly TokenDemand[],
  totals: ReadonlyMap<OrganisationId, number>,
  entries: number,
): readonly AllotmentShare[] {
  return demands.map(({organisation, tokensPerSecond}) => {
    const total = Math.max(totals.get(organisation) ?? 0, tokensPerSecond);
    const even = 1 / Math.max(1, entries);
    const wanted = total > 0 ? tokensPerSecond / total : even;
    const share = EVEN_PART * even + (1 - EVEN_PART) * wanted;
    return {organisation, share};
  });
}
