import type {CapturedState} from '@gentianshunt/controlModel';

import type {ConsensusDraft} from './consensusDraft.js';
import {findMembersAt} from './members.js';

/** Entries kept before a snapshot, so that few followers need a snapshot. */
export const RETAINED_ENTRIES = 2_048;

/** Makes a snapshot of a captured state and discards older log entries. */
export function compactLog(
  draft: ConsensusDraft,
  captured: CapturedState,
): void {
  const {index, items} = captured;
  const memberships = draft.read('memberships');
  const members = findMembersAt(memberships, index);
  const term = draft.log.readTerm(index)!;
  draft.set('snapshot', {index, term, members, items});
  draft.set('memberships', [
    {index, members},
    ...memberships.filter(membership => membership.index > index),
  ]);
  const {base} = draft.status;
  const baseIndex = Math.max(base.index, index - RETAINED_ENTRIES);
  draft.log.discardThrough({
    index: baseIndex,
    term: draft.log.readTerm(baseIndex)!,
  });
  draft.disk.compact();
}
