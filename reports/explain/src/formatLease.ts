import {assertNever} from '@gentianshunt/errors';

import {formatTimelineLine} from './formatExplanation.js';
import {describeLeaseCause} from './leaseCause.js';
import type {LeaseExplanation, LeaseState} from './leaseExplanation.js';

/** Formats why an entry had no lease at a time for a terminal. */
export function formatLeaseExplanation({
  entry,
  at,
  state,
  timeline,
}: LeaseExplanation): string {
  return [
    `${entry} at ${at.toISOString()}: ${formatState(state, at)}`,
    ...timeline.map(formatTimelineLine),
  ].join('\n');
}

function formatState(state: LeaseState, at: Date): string {
  switch (state.kind) {
    case 'held':
      return 'it had a lease';
    case 'missing': {
      const {from, until, cause} = state;
      const since = at.getTime() - from.getTime();
      const end = until === null ? 'the end' : until.toISOString();
      return `no lease for ${since} ms, until ${end}: ${describeLeaseCause(cause)}`;
    }
    default:
      return assertNever(state, 'formatState');
  }
}
