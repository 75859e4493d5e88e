import type {Random} from '@gentianshunt/policyBench';

import {drawBetween, drawChance, drawItem} from './draws.js';

/** How an endpoint ends. */
export type EndpointEnd =
  /** Its heartbeats say that it is draining; then it withdraws. */
  | {readonly kind: 'draining'; readonly isRepeated: boolean}
  /** It withdraws first and goes on serving for a while. */
  | {readonly kind: 'withdrawal'; readonly isRepeated: boolean}
  /** Its answers say so for a while, before its heartbeats do. */
  | {readonly kind: 'answers'; readonly aheadMs: number}
  /** It crashes. */
  | {readonly kind: 'crash'}
  /** It crashes and starts again under the same id. */
  | {readonly kind: 'restart'; readonly downMs: number};

/** The plan of one endpoint from its start to its end. */
export interface EndpointLife {
  readonly slots: number;
  /** Requests a second that it names as its limit, or `null`. */
  readonly namedLimit: number | null;
  readonly servesMs: number;
  /** Time after the start at which it turns requests away, or `null`. */
  readonly unavailableAfterMs: number | null;
  readonly unavailableMs: number;
  readonly end: EndpointEnd;
  /**
   * Time after the leave at which a heartbeat from before it arrives at another
   * VM, or `null` for none.
   */
  readonly lateHeartbeatMs: number | null;
  /** Time for which it serves beyond the drain time. */
  readonly lingersMs: number;
}

const NAMED_LIMIT_CHANCE = 0.15;
const UNAVAILABLE_CHANCE = 0.2;
const LATE_HEARTBEAT_CHANCE = 0.5;

/** Draws the life of an endpoint. */
export function planLife(random: Random): EndpointLife {
  const servesMs = drawBetween(random, 3_000, 9_000);
  return {
    slots: Math.round(drawBetween(random, 3, 8)),
    namedLimit: drawChance(random, NAMED_LIMIT_CHANCE)
      ? drawBetween(random, 5, 40)
      : null,
    servesMs,
    unavailableAfterMs: drawChance(random, UNAVAILABLE_CHANCE)
      ? drawBetween(random, 500, servesMs)
      : null,
    unavailableMs: drawBetween(random, 1_000, 3_000),
    end: planEnd(random),
    lateHeartbeatMs: drawChance(random, LATE_HEARTBEAT_CHANCE)
      ? drawBetween(random, 0, 6_000)
      : null,
    lingersMs: drawBetween(random, 500, 6_000),
  };
}

function planEnd(random: Random): EndpointEnd {
  const kind = drawItem(random, [
    'draining',
    'draining',
    'withdrawal',
    'withdrawal',
    'answers',
    'crash',
    'restart',
  ] as const);
  switch (kind) {
    case 'draining':
    case 'withdrawal':
      return {kind, isRepeated: drawChance(random, 0.5)};
    case 'answers':
      return {kind, aheadMs: drawBetween(random, 0, 4_000)};
    case 'crash':
      return {kind};
    case 'restart':
      return {kind, downMs: drawBetween(random, 200, 2_000)};
  }
}
