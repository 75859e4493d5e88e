import {hashText} from '@gentianshunt/hashing';
import type {
  EndpointSetId,
  FailureDomainId,
  NodeId,
  OrganisationId,
  RegionId,
} from '@gentianshunt/identifiers';
import type {DirectoryEntry} from '@gentianshunt/messages';

/** Most addresses given to a caller at once. */
export const MAX_ADDRESSES = 3;
/** Most entries that share the callers of one set. */
export const MAX_ENTRIES_PER_SET = 16;
/** How far an entry may be above the mean of the addresses given out. */
export const LOAD_BOUND = 1.25;

/** What a caller asks for, and what has been given out lately. */
export interface AddressQuery {
  readonly entries: readonly DirectoryEntry[];
  readonly organisation: OrganisationId;
  readonly set: EndpointSetId;
  /** How often each entry was given as the first address. */
  readonly given: ReadonlyMap<NodeId, number>;
}

/**
 * Selects entries for a caller, in the order in which to try them. Callers of
 * a set go to few entries, those of an organisation to the same one for as
 * long as it is not above the bound (consistent hashing with bounded loads);
 * the addresses after the first lie in other failure domains where they can.
 */
export function pickAddresses(query: AddressQuery): readonly DirectoryEntry[] {
  const {set, organisation, given} = query;
  const serving = query.entries.filter(entry => !entry.draining);
  const near = rankEntries(serving, set).slice(0, MAX_ENTRIES_PER_SET);
  const ranked = rankEntries(near, `${set}/${organisation}`);
  const limit = readLimit(ranked, given);
  const first = ranked.find(
    ({address}) => (given.get(address.node) ?? 0) < limit,
  );
  return first === undefined ? [] : spreadDomains(first, ranked);
}

/** Where a caller that wants the nearest entries stands. */
export interface NearQuery {
  readonly entries: readonly DirectoryEntry[];
  readonly region: RegionId;
  readonly domain: FailureDomainId;
}

/** Most entries that a caller picks from by itself. */
export const MAX_NEAR_ENTRIES = 64;
/** Fewest entries that a failure domain must have to serve its callers. */
export const MIN_NEAR_ENTRIES = 2;

/** Selects the entries of a caller's failure domain, or of a wider place. */
export function pickNearEntries(query: NearQuery): readonly DirectoryEntry[] {
  const {entries, region, domain} = query;
  const serving = entries.filter(entry => !entry.draining);
  const inRegion = serving.filter(({address}) => address.region === region);
  const inDomain = inRegion.filter(({address}) => address.domain === domain);
  const widths = [inDomain, inRegion, serving];
  const near = widths.find(({length}) => length >= MIN_NEAR_ENTRIES);
  return (near ?? serving).slice(0, MAX_NEAR_ENTRIES);
}

/** Selects entries for a caller that another entry could not serve. */
export function pickFallbacks(
  entries: readonly DirectoryEntry[],
  key: string,
): readonly DirectoryEntry[] {
  const serving = entries.filter(entry => !entry.draining);
  return rankEntries(serving, key).slice(0, MAX_ADDRESSES);
}

/** Orders entries by rendezvous hashing. */
function rankEntries(
  entries: readonly DirectoryEntry[],
  key: string,
): readonly DirectoryEntry[] {
  return entries
    .map(entry => ({entry, score: hashText(`${key}/${entry.address.node}`)}))
    .sort((left, right) => right.score - left.score)
    .map(scored => scored.entry);
}

function readLimit(
  entries: readonly DirectoryEntry[],
  given: ReadonlyMap<NodeId, number>,
): number {
  const total = entries.reduce(
    (sum, {address}) => sum + (given.get(address.node) ?? 0),
    0,
  );
  return Math.ceil((LOAD_BOUND * (total + 1)) / Math.max(1, entries.length));
}

function spreadDomains(
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
