import {listOtherEntries} from '@gentianshunt/entryModel';
import {sortByRendezvous} from '@gentianshunt/hashing';
import type {RequestId} from '@gentianshunt/identifiers';
import type {EntryAddress} from '@gentianshunt/messages';

import type {OriginView} from './originView.js';

/** Entries that keep the origin of a stream beside the one that serves it. */
const KEEPERS = 3;

/** Lists the other entries that keep the origin of an attempt's stream. */
export function listKeepers(
  {board}: OriginView,
  attempt: RequestId,
): readonly EntryAddress[] {
  return sortOthers(board, attempt).slice(0, KEEPERS);
}

/** Lists as many entries that keep no origin, and know what their sets run. */
export function listWitnesses(
  {board}: OriginView,
  attempt: RequestId,
): readonly EntryAddress[] {
  return sortOthers(board, attempt).slice(KEEPERS, 2 * KEEPERS);
}

function sortOthers(
  board: OriginView['board'],
  attempt: RequestId,
): readonly EntryAddress[] {
  return sortByRendezvous(attempt, listOtherEntries(board), ({node}) => node);
}
