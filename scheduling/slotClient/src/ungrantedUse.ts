/** Limits what an entry sends to limited endpoints without a grant. */
import type {BoardView, TurnTime} from '@gentianshunt/board';
import {isBrittle} from '@gentianshunt/entryModel';
import type {EntrySections} from '@gentianshunt/entryModel';
import {hashToFraction} from '@gentianshunt/hashing';
import type {EndpointId} from '@gentianshunt/identifiers';
import {refillTokens} from '@gentianshunt/limits';
import type {RateBucket} from '@gentianshunt/limits';
import {computeEndpointRate, computeUngrantedRate} from '@gentianshunt/policy';

/** The board sections that the ungranted use of endpoints depends on. */
export type UngrantedSections = Pick<
  BoardView<EntrySections>,
  'identity' | 'control' | 'namedLimits' | 'ungrantedUse'
>;

/** Returns whether an endpoint named a limit to this entry, or is brittle. */
export function isLimited(
  {namedLimits}: Pick<UngrantedSections, 'namedLimits'>,
  endpoint: EndpointId,
  now: TurnTime,
): boolean {
  const limit = namedLimits.get(endpoint);
  return (
    isBrittle(limit) || computeEndpointRate(limit, now.monotonic) !== undefined
  );
}

/**
 * Computes what this entry may send to an endpoint without a grant; `undefined`
 * if the endpoint named no limit.
 */
export function refillUngrantedUse(
  {identity, control, namedLimits, ungrantedUse}: UngrantedSections,
  endpoint: EndpointId,
  now: TurnTime,
): RateBucket | undefined {
  const limit = namedLimits.get(endpoint);
  const perSecond = computeEndpointRate(limit, now.monotonic);
  if (perSecond === undefined) {
    return undefined;
  }
  const rate = computeUngrantedRate(
    perSecond,
    Math.max(1, control.directory.entries.length),
    hashToFraction(`${endpoint}/${identity.address.node}`),
  );
  const empty = {tokens: 0, at: now.monotonic};
  const known = ungrantedUse.get(endpoint) ?? empty;
  return refillTokens(known, rate, now.monotonic);
}
