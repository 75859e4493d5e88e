import {assertNever} from '@gentianshunt/errors';

import {createStream, drawChance, drawIndex} from './draws.js';

/** What a document allows, as far as it differs between documents. */
export interface ConfigurationContent {
  /** The service of the route that moves between services. */
  readonly movingService: string;
  readonly extraRoutes: readonly number[];
  readonly extraKeys: readonly number[];
  /** Whether it has the route that only documents not to be obeyed have. */
  readonly hasRefusedRoute: boolean;
}

/** What a probe call asks for. */
export type ProbeTarget =
  /** A route that every version has. */
  | {readonly kind: 'fixedRoute'}
  | {readonly kind: 'movingRoute'}
  | {readonly kind: 'extraRoute'; readonly index: number}
  | {readonly kind: 'extraKey'; readonly index: number}
  /** The route that only documents not to be obeyed have. */
  | {readonly kind: 'refusedRoute'};

/** How a probe call was handled. */
export type ProbeOutcome =
  | {readonly kind: 'run'; readonly service: string}
  | {readonly kind: 'noRoute'}
  | {readonly kind: 'noKey'}
  /** Handled in a way that every version allows. */
  | {readonly kind: 'undecided'};

/** Services that the moving route may lead to. */
export const MOVING_SERVICES = ['s-safe', 's-unsafe', 's-moving'] as const;
/** The service of the fixed route, of the extra routes and of all fillers. */
export const FIXED_SERVICE = 's-safe';
/** Number of different extra routes. */
export const EXTRA_ROUTES = 6;
/** Number of different extra keys. */
export const EXTRA_KEYS = 4;

/** Stream of random numbers of the contents. */
const CONTENT_STREAM = 30_000;
const PRESENCE_CHANCE = 0.5;

/** Draws what a version allows; the same for every call. */
export function drawContent(version: number): ConfigurationContent {
  const random = createStream(version, CONTENT_STREAM);
  const drawPresent = (count: number): readonly number[] =>
    Array.from({length: count}, (_, index) => index).filter(() =>
      drawChance(random, PRESENCE_CHANCE),
    );
  return {
    movingService: MOVING_SERVICES[drawIndex(random, MOVING_SERVICES.length)]!,
    extraRoutes: drawPresent(EXTRA_ROUTES),
    extraKeys: drawPresent(EXTRA_KEYS),
    hasRefusedRoute: false,
  };
}

/** Returns whether a call may be handled in a way under a content. */
export function canHandle(
  content: ConfigurationContent,
  target: ProbeTarget,
  outcome: ProbeOutcome,
): boolean {
  switch (outcome.kind) {
    case 'run':
      return canRun(content, target, outcome.service);
    case 'noRoute':
      return !hasRoute(content, target);
    case 'noKey':
      return !hasKey(content, target);
    case 'undecided':
      return true;
    default:
      return assertNever(outcome, 'canHandle');
  }
}

function canRun(
  content: ConfigurationContent,
  target: ProbeTarget,
  service: string,
): boolean {
  const expected =
    target.kind === 'movingRoute' ? content.movingService : FIXED_SERVICE;
  return (
    hasRoute(content, target) && hasKey(content, target) && service === expected
  );
}

function hasRoute(content: ConfigurationContent, target: ProbeTarget): boolean {
  switch (target.kind) {
    case 'fixedRoute':
    case 'movingRoute':
    case 'extraKey':
      return true;
    case 'extraRoute':
      return content.extraRoutes.includes(target.index);
    case 'refusedRoute':
      return content.hasRefusedRoute;
    default:
      return assertNever(target, 'hasRoute');
  }
}

function hasKey(content: ConfigurationContent, target: ProbeTarget): boolean {
  return target.kind !== 'extraKey' || content.extraKeys.includes(target.index);
}
