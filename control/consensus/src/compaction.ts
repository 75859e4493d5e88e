import type {CapturedState} from '@gentianshunt/controlModel';
import type {LogIndex} from '@gentianshunt/messages';

import type {ConsensusDraft} from './consensusDraft.js';
import {findMembersAt, listPeers} from './members.js';

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
  draft.setSnapshot({index, term, members, items});
  draft.set('memberships', [
    {index, members},
    ...memberships.filter(membership => membership.index > index),
  ]);
  const baseIndex = findBaseIndex(draft, index);
  draft.log.discardThrough({
    index: baseIndex,
    term: draft.log.readTerm(baseIndex)!,
  });
  draft.disk.compact();
}

/**
 * Finds the index up to which entries may be discarded. What a follower needs
 * after the snapshot that it receives is kept, within bounds.
 */
function findBaseIndex(draft: ConsensusDraft, index: LogIndex): LogIndex {
  const {logBounds} = draft.view.board.identity;
  const retained = findRetainedIndex(draft, index, logBounds.retainedBytes);
  const transferred = findTransferIndex(draft) ?? retained;
  if (transferred >= retained) {
    return retained;
  }
  const bytes = draft.log.measureBytes(transferred, index);
  return bytes <= logBounds.transferBytes ? transferred : retained;
}

/** Finds the index after which the entries up to another one fit in bounds. */
function findRetainedIndex(
  draft: ConsensusDraft,
  index: LogIndex,
  maxBytes: number,
): LogIndex {
  const first = Math.max(draft.status.base.index, index - RETAINED_ENTRIES);
  let retained = index;
  while (
    retained > first &&
    draft.log.measureBytes(retained - 1, index) <= maxBytes
  ) {
    retained -= 1;
  }
  return retained;
}

/**
 * Finds the last index of the oldest snapshot that is being sent and after which
 * the log is whole.
 */
function findTransferIndex(draft: ConsensusDraft): LogIndex | undefined {
  const {base} = draft.status;
  const indices = listPeers(draft).flatMap(({node}) => {
    const index = draft.progress.get(node)?.transfer?.snapshot.index;
    return index !== undefined && index >= base.index ? [index] : [];
  });
  return indices.length === 0 ? undefined : Math.min(...indices);
}
