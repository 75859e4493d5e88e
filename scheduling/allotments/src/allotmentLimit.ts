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
/** Part of an allotment that a new keeper takes to be used unseen. */
export const UNSEEN_PART = 0.55;
/** Part of an allotment that entries share out while its keeper is silent. */
export const UNKEPT_PART = 0.7;

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

/** Part of an allotment that may have been used unseen by a new keeper. */
export function readUnseenPart(
  keptForMs: Milliseconds,
  windowMs: Milliseconds,
): number {
  const left = 1 - Math.max(0, keptForMs) / windowMs;
  return UNSEEN_PART * Math.max(0, left);
}
