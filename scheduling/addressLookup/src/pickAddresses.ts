import {sortByRendezvous} from '@gentianshunt/hashing';
import type {
  EndpointSetId,
  FailureDomainId,
  NodeId,
  OrganisationId,
  RegionId,
} from '@gentianshunt/identifiers';
import type {DirectoryEntry} from '@gentianshunt/messages';

/** Most addresses in the answer to a lookup. */
export const MAX_ADDRESSES = 3;
/** Most entries over which the callers of one set are distributed. */
export const MAX_ENTRIES_PER_SET = 16;
/** Most assignments of an entry, as a multiple of the mean over entries. */
export const LOAD_BOUND = 1.25;

/** A lookup of a caller, and the recent assignments. */
export interface AddressQuery {
  readonly entries: readonly DirectoryEntry[];
  readonly organisation: OrganisationId;
  readonly set: EndpointSetId;
  /** How often each entry was assigned as the first address. */
  readonly assignedCounts: ReadonlyMap<NodeId, number>;
}

/**
 * Selects entries for a caller, in the order in which to try them. Callers of
 * a set use at most `MAX_ENTRIES_PER_SET` entries, and those of an organisation
 * the same entry until it reaches the load bound (consistent hashing with
 * bounded loads). The other addresses lie in other failure domains if possible.
 */
export function pickAddresses(query: AddressQuery): readonly DirectoryEntry[] {
  const {set, organisation, assignedCounts} = query;
  const serving = listServing(query.entries);
  const near = rankEntries(serving, set).slice(0, MAX_ENTRIES_PER_SET);
  const ranked = rankEntries(near, `${set}/${organisation}`);
  const limit = computeLimit(ranked, assignedCounts);
  const first = ranked.find(
    ({address}) => (assignedCounts.get(address.node) ?? 0) < limit,
  );
  return first === undefined ? [] : pickAcrossDomains(first, ranked);
}

/** The location of a caller that looks for the nearest entries. */
export interface NearQuery {
  readonly entries: readonly DirectoryEntry[];
  readonly region: RegionId;
  readonly domain: FailureDomainId;
}

/** Most entries returned to a caller that picks one by itself. */
export const MAX_NEAR_ENTRIES = 64;
/** Fewest entries that a failure domain or region needs for its callers. */
export const MIN_NEAR_ENTRIES = 2;

/** Selects the entries of a caller's failure domain, its region, or all. */
export function pickNearEntries(query: NearQuery): readonly DirectoryEntry[] {
  const {entries, region, domain} = query;
  const serving = listServing(entries);
  const inRegion = serving.filter(({address}) => address.region === region);
  const inDomain = inRegion.filter(({address}) => address.domain === domain);
  const scopes = [inDomain, inRegion, serving];
  const near = scopes.find(({length}) => length >= MIN_NEAR_ENTRIES);
  return (near ?? serving).slice(0, MAX_NEAR_ENTRIES);
}

/** Selects entries for a caller whose entry could not serve it. */
export function pickFallbacks(
  entries: readonly DirectoryEntry[],
  key: string,
): readonly DirectoryEntry[] {
  const serving = listServing(entries);
  return rankEntries(serving, key).slice(0, MAX_ADDRESSES);
}

/**
 * Lists the entries for callers. Those that reach no endpoint are left out, unless
 * there are no others.
 */
function listServing(
  entries: readonly DirectoryEntry[],
): readonly DirectoryEntry[] {
  const active = entries.filter(entry => !entry.draining);
  const reaching = active.filter(({isIsolated}) => isIsolated !== true);
  return reaching.length > 0 ? reaching : active;
}

function rankEntries(
  entries: readonly DirectoryEntry[],
  key: string,
): readonly DirectoryEntry[] {
  return sortByRendezvous(key, entries, ({address}) => address.node);
}

function computeLimit(
  entries: readonly DirectoryEntry[],
  assignedCounts: ReadonlyMap<NodeId, number>,
): number {
  const total = entries.reduce(
    (sum, {address}) => sum + (assignedCounts.get(address.node) ?? 0),
    0,
  );
  return Math.ceil((LOAD_BOUND * (total + 1)) / Math.max(1, entries.length));
}

function pickAcrossDomains(
  first: DirectoryEntry,
  ranked: readonly DirectoryEntry[],
): readonly DirectoryEntry[] {
  const selected = [first];
  const others = ranked.filter(entry => entry !== first);
  const domains = new Set([first.address.domain]);
  for (const entry of others) {
    if (!domains.has(entry.address.domain)) {
      domains.add(entry.address.domain);
      selected.push(entry);
    }
  }
  const rest = others.filter(entry => !selected.includes(entry));
  return [...selected, ...rest].slice(0, MAX_ADDRESSES);
}
