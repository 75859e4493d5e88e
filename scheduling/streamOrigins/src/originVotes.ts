/** Decides what began a stream of which no entry has a record. */
import type {TurnTime} from '@gentianshunt/board';
import {isLeaseValid} from '@gentianshunt/clock';
import type {Milliseconds} from '@gentianshunt/clock';
import type {
  NamedSoftware,
  OriginInquiry,
  OriginVote,
  SeenSoftware,
  UnreportedStreams,
} from '@gentianshunt/entryModel';
import type {EndpointSetId, RequestId} from '@gentianshunt/identifiers';

import {listPossibleHolders} from './originKeepers.js';
import type {OriginDraft, OriginView} from './originView.js';
import {
  findUnreported,
  isComplete,
  isSoleSoftware,
  listSeen,
} from './seenSoftware.js';

/** The vote of an entry that may be out of step. */
const NO_VOTE: OriginVote = {
  seen: [],
  unreported: {kind: 'unsure'},
  isKeeper: false,
  isComplete: false,
};

/** Creates what this entry knows of a stream of which it has no record. */
export function createVote(
  view: OriginView,
  draft: OriginDraft,
  attempt: RequestId | null,
  set: EndpointSetId,
  now: TurnTime,
): OriginVote {
  const {identity, control} = view.board;
  const seen = draft.seen.get(set);
  if (!isLeaseValid(control.lease, now)) {
    return NO_VOTE;
  }
  const own = identity.address.node;
  return {
    seen: listSeen(seen, draft.memoryMs, now),
    unreported: readUnreported(seen, draft.memoryMs, now),
    isKeeper:
      attempt !== null &&
      hasAllReports(draft, set, seen, now) &&
      listPossibleHolders(view, draft, attempt, now).includes(own),
    isComplete: isComplete(seen, draft.memoryMs, now),
  };
}

/**
 * Reads what unreported streams began at. What was the only software at a time is
 * that for the memory after it, whatever has escaped this entry since: others must
 * have missed it for that long before they report no streams of another one.
 */
function readUnreported(
  seen: SeenSoftware | undefined,
  memoryMs: Milliseconds,
  now: TurnTime,
): UnreportedStreams {
  const found = findUnreported(seen, memoryMs, now);
  if (found !== undefined) {
    return {kind: 'begun', software: found.software};
  }
  return {kind: isComplete(seen, memoryMs, now) ? 'none' : 'unsure'};
}

/**
 * Returns whether this entry has run since before the first report that it may have
 * been sent and that matters now.
 */
function hasAllReports(
  draft: OriginDraft,
  set: EndpointSetId,
  seen: SeenSoftware | undefined,
  now: TurnTime,
): boolean {
  const {memoryMs, holders} = draft;
  const {keptSince} = holders;
  if (isSoleSoftware(draft, set, now)) {
    return true;
  }
  const sole = seen?.sole ?? null;
  const isOlder = sole !== null && sole.seenAt >= keptSince;
  return isOlder || now.monotonic - keptSince >= memoryMs;
}

/** What the entries that have answered say together. */
export type OriginVerdict =
  | {readonly kind: 'unknown'}
  /** It was the only software of the set while such streams may have begun. */
  | {readonly kind: 'only'; readonly software: NamedSoftware}
  /** Enough entries would have a record if it had begun at other software. */
  | {readonly kind: 'unreported'; readonly software: NamedSoftware};

/**
 * Judges the votes of an inquiry. Streams at software that is new in a set are
 * reported before their callers get an event, so a stream without a record is one
 * of the software before. As all but one of the holders of a report have it, all
 * but one must say that they have none.
 */
export function decideVerdict({
  attempt,
  votes,
  holders,
}: OriginInquiry): OriginVerdict {
  const all = [...votes.values()];
  const claims = new Set(listClaims(all));
  const [software] = claims;
  const isDenied = all.some(({unreported}) => unreported.kind === 'none');
  if (software === undefined || claims.size > 1 || isDenied) {
    return {kind: 'unknown'};
  }
  const keepers = all.filter(({isKeeper}) => isKeeper).length;
  if (attempt !== null && keepers >= Math.max(1, holders - 1)) {
    return {kind: 'unreported', software};
  }
  const seen = new Set(all.flatMap(vote => vote.seen));
  const isWatched = all.some(vote => vote.isComplete);
  return isWatched && seen.size === 1 && seen.has(software)
    ? {kind: 'only', software}
    : {kind: 'unknown'};
}

/** Lists the software at which unreported streams began, by the votes. */
export function listClaims(
  votes: readonly OriginVote[],
): readonly NamedSoftware[] {
  return votes.flatMap(({unreported}) =>
    unreported.kind === 'begun' ? [unreported.software] : [],
  );
}
