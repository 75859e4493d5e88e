import type {Random} from '@gentianshunt/policyBench';
import type {SiteRouteKind} from '@gentianshunt/platformWorker';

import {drawBetween, drawChance, drawItem} from './draws.js';

/** How the body of a request is sent. */
export type BodyForm = 'sized' | 'chunked' | 'slow';

/** One request of a caller. */
export interface PlannedRequest {
  readonly kind: SiteRouteKind;
  readonly bodyBytes: number;
  readonly bodyForm: BodyForm;
  readonly answerBytes: number;
  readonly workMs: number;
  /** Events of a streamed answer. */
  readonly events: number;
  /** Time after which the caller leaves, or `null`. */
  readonly cancelAfterMs: number | null;
  readonly timeLeftMs: number;
  /** Pause before the next request. */
  readonly pauseMs: number;
}

const KINDS: readonly SiteRouteKind[] = [
  'safe',
  'safe',
  'unsafe',
  'unsafe',
  'stream',
  'resumableStream',
];
const CANCEL_CHANCE = 0.15;
const LARGE_CHANCE = 0.05;
const SLOW_CHANCE = 0.05;
const CHUNKED_CHANCE = 0.2;
const EMPTY_CHANCE = 0.3;
const TIME_LEFT_MS = 4_000;

/** Draws the next request of a caller. */
export function planRequest(random: Random): PlannedRequest {
  const kind = drawItem(random, KINDS);
  const isStreamed = kind === 'stream' || kind === 'resumableStream';
  return {
    kind,
    bodyBytes: drawBodyBytes(random),
    bodyForm: drawBodyForm(random),
    answerBytes: random.drawLength({min: 64, max: 200_000}),
    workMs: random.drawLength({min: 5, max: isStreamed ? 200 : 1_500}),
    events: isStreamed ? random.drawLength({min: 1, max: 40}) : 0,
    cancelAfterMs: drawChance(random, CANCEL_CHANCE)
      ? random.drawLength({min: 5, max: 1_000})
      : null,
    timeLeftMs: TIME_LEFT_MS,
    pauseMs: drawBetween(random, 10, 300),
  };
}

function drawBodyBytes(random: Random): number {
  if (drawChance(random, EMPTY_CHANCE)) {
    return 0;
  }
  return drawChance(random, LARGE_CHANCE)
    ? random.drawLength({min: 100_000, max: 4_000_000})
    : random.drawLength({min: 32, max: 30_000});
}

function drawBodyForm(random: Random): BodyForm {
  if (drawChance(random, SLOW_CHANCE)) {
    return 'slow';
  }
  return drawChance(random, CHUNKED_CHANCE) ? 'chunked' : 'sized';
}
