/** Records which software the endpoints of a set run, and ran a while ago. */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {readSoftware} from '@gentianshunt/entryModel';
import type {
  HistoryHandover,
  NamedSoftware,
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
  const known = draft.seen.get(set);
  const dropped = known?.listed.filter(item => !listed.includes(item)) ?? [];
  const added = listed.filter(item => known?.listed.includes(item) !== true);
  const isFirst = (known?.since ?? null) === null;
  if (!isFirst && dropped.length + added.length === 0) {
    return;
  }
  draft.seen.put(set, {
    since: known?.since ?? now.monotonic,
    listed,
    handover: known?.handover ?? NO_HANDOVER,
    past: new Map([
      ...(known?.past ?? []),
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
  const known = draft.seen.get(set);
  const usedAt = known?.past.get(software) ?? Number.NEGATIVE_INFINITY;
  const isKnown =
    known?.listed.includes(software) === true ||
    now.monotonic - usedAt < RECORD_INTERVAL_MS;
  if (isKnown) {
    return;
  }
  draft.seen.put(set, {
    since: known?.since ?? null,
    listed: known?.listed ?? [],
    handover: known?.handover ?? NO_HANDOVER,
    past: new Map([...(known?.past ?? []), [software, now.monotonic]]),
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
  const since = seen?.since ?? null;
  return since !== null && now.monotonic - since >= memoryMs;
}

/** Returns whether all streams of a set surely began at the same software. */
export function isSoleSoftware(
  {seen, memoryMs}: OriginDraft,
  set: EndpointSetId,
  now: TurnTime,
): boolean {
  const known = seen.get(set);
  return (
    isComplete(known, memoryMs, now) &&
    listSeen(known, memoryMs, now).length === 1
  );
}
