import type {CapturedState} from '@gentianshunt/controlModel';

import type {ConsensusDraft} from './consensusDraft.js';
import {findMembers} from './members.js';

/** Entries kept behind a snapshot for members that lag a little. */
export const KEPT_ENTRIES = 2_048;

/** Makes a snapshot of a captured state and forgets entries behind it. */
export function compactLog(
  draft: ConsensusDraft,
  captured: CapturedState,
): void {
  const {index, items} = captured;
  const memberships = draft.read('memberships');
  const members = findMembers(memberships, index);
  const term = draft.log.readTerm(index)!;
  draft.set('snapshot', {index, term, members, items});
  draft.set('memberships', [
    {index, members},
    ...memberships.filter(membership => membership.index > index),
  ]);
  const {base} = draft.status;
  const forgotten = Math.max(base.index, index - KEPT_ENTRIES);
  draft.log.forget({
    index: forgotten,
    term: draft.log.readTerm(forgotten)!,
  });
  draft.disk.compact();
}
