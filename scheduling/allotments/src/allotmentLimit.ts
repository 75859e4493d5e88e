import type {Milliseconds} from '@gentianshunt/clock';
import {findObject, listObjects} from '@gentianshunt/configuration';
import type {
  ConfigurationTable,
  TokenAllotment,
} from '@gentianshunt/configuration';
import type {AllotmentTolerance} from '@gentianshunt/entryModel';
import type {OrganisationId} from '@gentianshunt/identifiers';

/** Part of what the operator concedes that is handed out. */
export const USED_PART = 0.95;
/** Part of an allotment that each tier leaves to the tiers above it. */
export const RESERVED_PER_TIER = 0.1;
/**
 * Part of an allotment that entries share out while its keeper is silent. The
 * keeper sets it aside, so that it is there whenever it falls silent.
 */
export const UNKEPT_PART = 0.3;

/** Equal parts that an entry may have used of which it has not told. */
const UNTOLD_PARTS = 2;

const MS_PER_SECOND = 1_000;

/** Tokens that all entries together may use within a window. */
export function readWindowTokens(
  {tokensPerSecond, burstTokens}: TokenAllotment,
  {windowMs, overage, slackTokens}: AllotmentTolerance,
): number {
  const allotted = (tokensPerSecond * windowMs) / MS_PER_SECOND + burstTokens;
  return USED_PART * (allotted * (1 + overage) + slackTokens);
}

/** Part of an allotment that requests of a rank may fill. */
export function readRankPart(
  configuration: ConfigurationTable,
  organisation: OrganisationId,
  rank: number,
): number {
  const offset =
    findObject(configuration, 'organisation', organisation)?.rankOffset ?? 0;
  const above = listObjects(configuration, 'tier').filter(
    tier => tier.rank + offset < rank,
  );
  return Math.max(0, 1 - RESERVED_PER_TIER * above.length);
}

/** Tokens that an entry may use within a window without a keeper. */
export function readUnkeptTokens(total: number, entries: number): number {
  return Math.floor((UNKEPT_PART * total) / Math.max(1, entries));
}

/** What a keeper knows of the time before it. */
export interface KeeperKnowledge {
  readonly keptForMs: Milliseconds;
  readonly windowMs: Milliseconds;
  readonly entries: number;
  /** Entries that have not told what they used, in parts of the window. */
  readonly untold: number;
}

/**
 * Part of an allotment that may have been used unseen by a new keeper: by
 * entries that have not told of all of it, and by one that failed before.
 */
export function estimateUnseenPart(knowledge: KeeperKnowledge): number {
  const {keptForMs, windowMs, entries, untold} = knowledge;
  const left = Math.max(0, 1 - Math.max(0, keptForMs) / windowMs);
  // The entry that led before may be gone, with what it had used.
  const unseen = Math.max(untold, 1) / Math.max(1, entries);
  return Math.min(1, UNTOLD_PARTS * unseen) * left;
}
