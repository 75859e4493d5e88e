/** Records which software the endpoints of a set run, and ran a while ago. */
import type {TurnTime} from '@gentianshunt/board';
import {isLeaseValid} from '@gentianshunt/clock';
import type {Milliseconds} from '@gentianshunt/clock';
import {readSoftware} from '@gentianshunt/entryModel';
import type {
  HistoryHandover,
  NamedSoftware,
  PastSoftware,
  SeenSoftware,
} from '@gentianshunt/entryModel';
import type {EndpointSetId} from '@gentianshunt/identifiers';

import type {OriginDraft, OriginView} from './originView.js';

/** Shortest time between two records of software that is not listed. */
const RECORD_INTERVAL_MS: Milliseconds = 1_000;

/** An entry that has asked no other what that has seen. */
const NO_HANDOVER: HistoryHandover = {
  askedAt: null,
  rounds: 0,
  answers: new Map(),
};

/** A set of which an entry has seen nothing. */
export const UNSEEN: SeenSoftware = {
  since: null,
  doubtedAt: null,
  listed: [],
  past: new Map(),
  sole: null,
  handover: NO_HANDOVER,
};

/** Records the software in new endpoint lists and grants. */
export function recordSeenSoftware(
  view: OriginView,
  draft: OriginDraft,
  now: TurnTime,
): void {
  const {knownEndpoints, acceptedReply} = view.board;
  for (const key of view.readChanges('knownEndpoints')) {
    const set = key as EndpointSetId;
    const targets = knownEndpoints.get(set)?.endpoints ?? [];
    recordListed(
      draft,
      set,
      targets.map(({target}) => readSoftware(target)),
      now,
    );
  }
  if (view.readChanges('acceptedReply').size > 0 && acceptedReply !== null) {
    for (const {target} of acceptedReply.grants) {
      const software = readSoftware(target);
      recordUsed(draft, acceptedReply.set, software, now);
    }
  }
}

function recordListed(
  draft: OriginDraft,
  set: EndpointSetId,
  software: readonly NamedSoftware[],
  now: TurnTime,
): void {
  const listed = [...new Set(software)];
  const known = draft.seen.get(set) ?? UNSEEN;
  const dropped = known.listed.filter(item => !listed.includes(item));
  const added = listed.filter(item => !known.listed.includes(item));
  const isFirst = known.since === null;
  if (!isFirst && dropped.length + added.length === 0) {
    return;
  }
  draft.seen.put(set, {
    ...known,
    since: known.since ?? now.monotonic,
    listed,
    sole: findLastSole(known, draft.memoryMs, now),
    // Its own list begins here, so what others know is needed once more.
    handover: isFirst ? NO_HANDOVER : known.handover,
    past: new Map([
      ...known.past,
      ...dropped.map(item => [item, now.monotonic] as const),
    ]),
  });
  reportIfMixed(draft, set, now);
}

/** Records software that is in use, whether it is listed or not. */
export function recordUsed(
  draft: OriginDraft,
  set: EndpointSetId,
  software: NamedSoftware,
  now: TurnTime,
): void {
  const known = draft.seen.get(set) ?? UNSEEN;
  const usedAt = known.past.get(software) ?? Number.NEGATIVE_INFINITY;
  const isKnown =
    known.listed.includes(software) ||
    now.monotonic - usedAt < RECORD_INTERVAL_MS;
  if (isKnown) {
    return;
  }
  draft.seen.put(set, {
    ...known,
    sole: findLastSole(known, draft.memoryMs, now),
    past: new Map([...known.past, [software, now.monotonic]]),
  });
  reportIfMixed(draft, set, now);
}

/** Lets the entries that keep origins learn what was of no use before. */
function reportIfMixed(
  draft: OriginDraft,
  set: EndpointSetId,
  now: TurnTime,
): void {
  if (!isSoleSoftware(draft, set, now)) {
    draft.startTimer();
  }
}

/** Lists the software at which streams that may be taken up can have begun. */
export function listSeen(
  seen: SeenSoftware | undefined,
  memoryMs: Milliseconds,
  now: TurnTime,
): readonly NamedSoftware[] {
  const past = [...(seen?.past ?? [])]
    .filter(([, at]) => now.monotonic - at <= memoryMs)
    .map(([software]) => software);
  return [...new Set([...(seen?.listed ?? []), ...past])];
}

/** Returns whether no software can have escaped this entry that matters now. */
export function isComplete(
  seen: SeenSoftware | undefined,
  memoryMs: Milliseconds,
  now: TurnTime,
): boolean {
  const doubtedAt = seen?.doubtedAt ?? Number.NEGATIVE_INFINITY;
  return (
    hasSeenLong(seen, memoryMs, now) && now.monotonic - doubtedAt >= memoryMs
  );
}

/** Returns whether this entry has watched a set for long enough, but for doubts. */
export function hasSeenLong(
  seen: SeenSoftware | undefined,
  memoryMs: Milliseconds,
  now: TurnTime,
): boolean {
  const since = seen?.since ?? null;
  return since !== null && now.monotonic - since >= memoryMs;
}

/**
 * Doubts what this entry has seen as long as it has no lease: it may have been out
 * of step, and other versions may have come and gone.
 */
export function recordDoubts(
  {board}: OriginView,
  draft: OriginDraft,
  now: TurnTime,
): void {
  if (isLeaseValid(board.control.lease, now)) {
    return;
  }
  for (const [set, seen] of board.seenSoftware) {
    const doubtedAt = seen.doubtedAt ?? Number.NEGATIVE_INFINITY;
    if (now.monotonic - doubtedAt >= RECORD_INTERVAL_MS) {
      draft.seen.put(set, {
        ...seen,
        doubtedAt: now.monotonic,
        handover: NO_HANDOVER,
      });
    }
  }
}

/** Returns whether all streams of a set surely began at the same software. */
export function isSoleSoftware(
  {seen, memoryMs}: OriginDraft,
  set: EndpointSetId,
  now: TurnTime,
): boolean {
  return findSole(seen.get(set), memoryMs, now) !== undefined;
}

/** Finds the software at which all streams of a set surely began, if there is one. */
function findSole(
  seen: SeenSoftware | undefined,
  memoryMs: Milliseconds,
  now: TurnTime,
): PastSoftware | undefined {
  const [software, ...others] = listSeen(seen, memoryMs, now);
  return isComplete(seen, memoryMs, now) &&
    software !== undefined &&
    others.length === 0
    ? {software, seenAt: now.monotonic}
    : undefined;
}

/** Finds what was surely the only software last, until now or before. */
export function findLastSole(
  seen: SeenSoftware | undefined,
  memoryMs: Milliseconds,
  now: TurnTime,
): PastSoftware | null {
  return findSole(seen, memoryMs, now) ?? seen?.sole ?? null;
}

/**
 * Finds the software at which the streams began that were not reported: what was
 * the only software of the set while they may have begun. `undefined` if there was
 * none: streams were reported all the time then.
 */
export function findUnreported(
  seen: SeenSoftware | undefined,
  memoryMs: Milliseconds,
  now: TurnTime,
): PastSoftware | undefined {
  const sole = findLastSole(seen, memoryMs, now);
  return sole !== null && now.monotonic - sole.seenAt <= memoryMs
    ? sole
    : undefined;
}
