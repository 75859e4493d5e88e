/** Picks the entries that keep the origin of a stream. */
import type {TurnTime} from '@gentianshunt/board';
import {listOtherEntries} from '@gentianshunt/entryModel';
import {sortByRendezvous} from '@gentianshunt/hashing';
import type {NodeId, RequestId} from '@gentianshunt/identifiers';
import type {EntryAddress} from '@gentianshunt/messages';

import type {OriginDraft, OriginView} from './originView.js';

/** Entries that keep the origin of a stream beside the one that serves it. */
const KEEPERS = 3;
/** Those and the serving entry are among the first of all entries. */
const HOLDERS = KEEPERS + 1;

/** Lists the other entries that keep the origin of an attempt's stream. */
export function listKeepers(
  {board}: OriginView,
  attempt: RequestId,
): readonly EntryAddress[] {
  return sortOthers(board, attempt).slice(0, KEEPERS);
}

/**
 * Counts the keepers that must have an origin before its caller gets an event. With
 * the serving entry, all but one of the holders have it then.
 */
export function countNeeded(keepers: number): number {
  return Math.min(keepers, Math.max(1, keepers - 1));
}

/** Lists the other entries that may keep the origin of an attempt's stream. */
export function listHolders(
  {board}: OriginView,
  attempt: RequestId,
): readonly EntryAddress[] {
  return sortOthers(board, attempt).slice(0, HOLDERS);
}

/** Lists as many entries that keep no origin, and know what their sets run. */
export function listWitnesses(
  {board}: OriginView,
  attempt: RequestId,
): readonly EntryAddress[] {
  return sortOthers(board, attempt).slice(HOLDERS, 2 * HOLDERS);
}

function sortOthers(
  board: OriginView['board'],
  attempt: RequestId,
): readonly EntryAddress[] {
  return sortByRendezvous(attempt, listOtherEntries(board), ({node}) => node);
}

/**
 * Lists the entries among which are all that were told of a stream while it lives,
 * those that have left the directory since included.
 */
export function listPossibleHolders(
  {board}: OriginView,
  {holders, memoryMs}: OriginDraft,
  attempt: RequestId,
  now: TurnTime,
): readonly NodeId[] {
  const nodes = new Set(
    board.control.directory.entries.map(({address}) => address.node),
  );
  nodes.add(board.identity.address.node);
  for (const [node, until] of holders.departed) {
    if (now.monotonic - until <= memoryMs) {
      nodes.add(node);
    }
  }
  return sortByRendezvous(attempt, [...nodes], node => node).slice(0, HOLDERS);
}
