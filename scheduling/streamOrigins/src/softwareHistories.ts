/** Hands over what entries have seen to those that have started. */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findEntryAddress, listOtherEntries} from '@gentianshunt/entryModel';
import type {
  ReportedHistory,
  SeenSoftware,
  SoftwareHistory,
} from '@gentianshunt/entryModel';
import {sortByRendezvous} from '@gentianshunt/hashing';
import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';

import type {OriginDraft, OriginView} from './originView.js';
import {isComplete, listSeen} from './seenSoftware.js';

/** Entries that are asked for their history; at first the answers of all count. */
const SOURCES = 4;
/** Answers that are needed later on, so that no entry out of step answers alone. */
const MIN_ANSWERS = 2;
/** Time after which the entries are asked again. */
const REQUEST_INTERVAL_MS: Milliseconds = 1_000;

/** Asks other entries for the history of the sets that this one sees too briefly. */
export function requestHistories(
  view: OriginView,
  draft: OriginDraft,
  now: TurnTime,
): void {
  for (const set of view.board.knownEndpoints.keys()) {
    const seen = draft.seen.get(set);
    const askedAt = seen?.handover.askedAt ?? Number.NEGATIVE_INFINITY;
    const isDue = now.monotonic - askedAt >= REQUEST_INTERVAL_MS;
    if (seen !== undefined && isDue && !isComplete(seen, draft.memoryMs, now)) {
      requestHistory(view, draft, set, seen, now);
    }
  }
}

function requestHistory(
  {board}: OriginView,
  draft: OriginDraft,
  set: EndpointSetId,
  seen: SeenSoftware,
  now: TurnTime,
): void {
  const own = board.identity.address.node;
  const sources = sortByRendezvous(
    `${own}/${set}`,
    listOtherEntries(board),
    ({node}) => node,
  ).slice(0, SOURCES);
  if (sources.length === 0) {
    return;
  }
  for (const {node, peer} of sources) {
    draft.send(node, peer, {kind: 'softwareHistoryRequested', set});
  }
  const {rounds, answers} = seen.handover;
  const handover = {askedAt: now.monotonic, rounds: rounds + 1, answers};
  draft.seen.put(set, {...seen, handover});
}

/** Tells another entry what this one has seen of a set. */
export function answerHistory(
  view: OriginView,
  draft: OriginDraft,
  from: NodeId,
  set: EndpointSetId,
  now: TurnTime,
): void {
  const address = findEntryAddress(view.board.control.directory, from);
  if (address !== undefined) {
    const history = toReportedHistory(draft, set, now);
    draft.send(from, address, {kind: 'softwareHistoryReported', set, history});
  }
}

function toReportedHistory(
  {seen, memoryMs}: OriginDraft,
  set: EndpointSetId,
  now: TurnTime,
): ReportedHistory | null {
  const known = seen.get(set);
  const since = known?.since ?? null;
  if (known === undefined || since === null) {
    return null;
  }
  if (!isComplete(known, memoryMs, now)) {
    return null;
  }
  return {
    ageMs: now.monotonic - since,
    software: listSeen(known, memoryMs, now).map(software => ({
      software,
      ageMs: known.listed.includes(software)
        ? 0
        : now.monotonic - known.past.get(software)!,
    })),
  };
}

/**
 * Records what another entry has seen. Once enough have answered, nothing has
 * escaped this one since as long ago as for those that know: they have seen all
 * until they answered, and this entry since its own first list before that.
 */
export function receiveHistory(
  {board}: OriginView,
  draft: OriginDraft,
  from: NodeId,
  set: EndpointSetId,
  history: ReportedHistory | null,
  now: TurnTime,
): void {
  const seen = draft.seen.get(set);
  const isWanted =
    seen !== undefined &&
    seen.since !== null &&
    !isComplete(seen, draft.memoryMs, now);
  if (!isWanted) {
    return;
  }
  const answers = new Map(seen.handover.answers);
  answers.set(from, history && toOwnTime(history, now));
  const handover = {...seen.handover, answers};
  const known = [...answers.values()].filter(answer => answer !== null);
  const wanted = handover.rounds > 1 ? MIN_ANSWERS : SOURCES;
  const enough = Math.min(wanted, listOtherEntries(board).length);
  draft.seen.put(
    set,
    answers.size >= enough && known.length > 0
      ? addHistories({...seen, handover}, known)
      : {...seen, handover},
  );
}

function toOwnTime(
  {ageMs, software}: ReportedHistory,
  {monotonic}: TurnTime,
): SoftwareHistory {
  return {
    since: monotonic - ageMs,
    software: software.map(item => ({
      software: item.software,
      seenAt: monotonic - item.ageMs,
    })),
  };
}

/** Adds the histories of other entries to what this one has seen itself. */
function addHistories(
  seen: SeenSoftware,
  histories: readonly SoftwareHistory[],
): SeenSoftware {
  const past = new Map(seen.past);
  const others = histories.flatMap(({software}) => software);
  for (const {software, seenAt} of others) {
    if (!seen.listed.includes(software)) {
      past.set(software, Math.max(seenAt, past.get(software) ?? seenAt));
    }
  }
  const since = Math.max(...histories.map(history => history.since));
  return {...seen, since, past};
}
