import {assertNever} from '@gentianshunt/errors';

import type {ProbeOutcome, ProbeTarget} from './configurationContent.js';

/** Describes a probe call and how it was handled. */
export function describeHandling(
  target: ProbeTarget,
  outcome: ProbeOutcome,
): string {
  return `${describeTarget(target)}: ${describeOutcome(outcome)}`;
}

function describeTarget(target: ProbeTarget): string {
  switch (target.kind) {
    case 'fixedRoute':
      return 'a route of all versions';
    case 'movingRoute':
      return 'the moving route';
    case 'extraRoute':
      return `extra route ${target.index}`;
    case 'extraKey':
      return `extra key ${target.index}`;
    case 'refusedRoute':
      return 'the route of refused documents';
    default:
      return assertNever(target, 'describeTarget');
  }
}

function describeOutcome(outcome: ProbeOutcome): string {
  switch (outcome.kind) {
    case 'run':
      return `run by ${outcome.service}`;
    case 'noRoute':
      return 'no such route';
    case 'noKey':
      return 'no such key';
    case 'undecided':
      return 'undecided';
    default:
      return assertNever(outcome, 'describeOutcome');
  }
}
