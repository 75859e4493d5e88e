import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** The endpoint set that a request is for, and its content. */
export type CallTarget =
  | {
      readonly kind: 'chat';
      readonly set: string;
      readonly promptTokens: number;
      readonly maxTokens: number;
    }
  | {readonly kind: 'service'; readonly set: string; readonly path: string};

/** A request to send at a planned time. */
export interface PlannedCall {
  readonly index: number;
  /** Time since the start of the load. */
  readonly startMs: number;
  readonly organisation: string;
  readonly tier: string;
  readonly requestKind: string;
  readonly weight: number;
  readonly target: CallTarget;
  readonly idempotencyKey: string | null;
  /** How long the caller waits before it disconnects; `null` if it stays. */
  readonly patienceMs: number | null;
}

/** A class of requests, with the ranges that they are drawn from. */
export interface CallClass {
  readonly requestKind: string;
  readonly weight: number;
  /** Number of requests, relative to the other classes. */
  readonly frequency: number;
  readonly target:
    | {
        readonly kind: 'chat';
        readonly set: string;
        readonly promptTokens: Range;
        readonly maxTokens: Range;
      }
    | {readonly kind: 'service'; readonly set: string; readonly path: string};
  /** Percentage of callers that disconnect early. */
  readonly cancelPercent: number;
  /** How long those callers wait before they disconnect. */
  readonly patienceMs: Range;
}

/** A range of integers, both ends included. */
export interface Range {
  readonly from: number;
  readonly to: number;
}

/** The distributions that the requests of a plan are drawn from. */
export interface LoadPlanOptions {
  readonly requests: number;
  readonly durationMs: number;
  readonly seed: number;
  readonly tiers: readonly string[];
  readonly organisations: readonly string[];
  readonly classes: readonly CallClass[];
  /** Prefix of idempotency keys; must differ between runs. */
  readonly runName: string;
}

type Draw = (range: Range) => number;

/** Draws the requests of a load at random; the seed fixes the plan. */
export function createLoadPlan(
  options: LoadPlanOptions,
): readonly PlannedCall[] {
  const generator = xoroshiro128plus(options.seed);
  const draw: Draw = range => uniformInt(generator, range.from, range.to);
  return Array.from({length: options.requests}, (_, index) =>
    planCall(options, draw, index),
  );
}

function planCall(
  options: LoadPlanOptions,
  draw: Draw,
  index: number,
): PlannedCall {
  const callClass = pickClass(options.classes, draw);
  const isCancelled = draw({from: 1, to: 100}) <= callClass.cancelPercent;
  const target = planTarget(callClass, draw);
  return {
    index,
    startMs: draw({from: 0, to: options.durationMs}),
    organisation: pickOne(options.organisations, draw),
    tier: pickOne(options.tiers, draw),
    requestKind: callClass.requestKind,
    weight: callClass.weight,
    target,
    idempotencyKey:
      target.kind === 'service' ? `${options.runName}-${index}` : null,
    patienceMs: isCancelled ? draw(callClass.patienceMs) : null,
  };
}

function pickClass(classes: readonly CallClass[], draw: Draw): CallClass {
  const total = classes.reduce((sum, item) => sum + item.frequency, 0);
  let remaining = draw({from: 1, to: total});
  for (const item of classes) {
    remaining -= item.frequency;
    if (remaining <= 0) {
      return item;
    }
  }
  return classes[classes.length - 1]!;
}

function pickOne<Item>(items: readonly Item[], draw: Draw): Item {
  return items[draw({from: 0, to: items.length - 1})]!;
}

function planTarget(callClass: CallClass, draw: Draw): CallTarget {
  const {target} = callClass;
  switch (target.kind) {
    case 'chat':
      return {
        kind: 'chat',
        set: target.set,
        promptTokens: draw(target.promptTokens),
        maxTokens: draw(target.maxTokens),
      };
    case 'service':
      return target;
  }
}
