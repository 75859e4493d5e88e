import type {Milliseconds} from '@gentianshunt/clock';
import {hashText} from '@gentianshunt/hashing';
import type {EndpointId} from '@gentianshunt/identifiers';

import type {LeaveRecord} from './leaveRecord.js';
import type {LeftIncarnation} from './withdrawal.js';

/** Most by which the remaining time of a record grows on its way. */
const MAX_TRANSIT_MS: Milliseconds = 250;

/** The parts of a record by which it replaces another one. */
export type OrderedLeave = Pick<
  LeaveRecord,
  'state' | 'incarnation' | 'source' | 'until'
>;

/**
 * Returns whether a record replaces another one of the same endpoint. Numbered
 * incarnations are in order, and each leaves after it started. Others have no
 * order; of these, what an entry is told directly replaces what it knew, and what
 * it is told in an exchange if it happened later.
 */
export function isLaterLeave(next: OrderedLeave, known: OrderedLeave): boolean {
  const nextAt = readStart(next.incarnation);
  const knownAt = readStart(known.incarnation);
  if (nextAt !== undefined && knownAt !== undefined) {
    return (
      nextAt > knownAt ||
      (nextAt === knownAt && next.state === 'left' && known.state !== 'left')
    );
  }
  return next.source === 'exchange'
    ? next.until > known.until + MAX_TRANSIT_MS
    : formatLeave(next) !== formatLeave(known);
}

function readStart(incarnation: LeftIncarnation): number | undefined {
  return incarnation.kind === 'numbered' ? incarnation.startedAtMs : undefined;
}

type NamedLeave = Pick<LeaveRecord, 'state' | 'incarnation'>;

/** Hashes what entries must agree on of a record. */
export function hashLeave(endpoint: EndpointId, leave: NamedLeave): number {
  return hashText(`${endpoint}/${formatLeave(leave)}`);
}

function formatLeave({state, incarnation}: NamedLeave): string {
  return incarnation.kind === 'numbered'
    ? `${state}/${incarnation.startedAtMs}`
    : `${state}/${incarnation.incarnation}`;
}
