/** Hands over what entries have seen to those that have started. */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findEntryAddress, listOtherEntries} from '@gentianshunt/entryModel';
import type {
  PastSoftware,
  ReportedHistory,
  ReportedSoftware,
  SeenSoftware,
  SoftwareHistory,
} from '@gentianshunt/entryModel';
import {sortByRendezvous} from '@gentianshunt/hashing';
import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';

import {listStreamSets} from './originMemory.js';
import type {OriginDraft, OriginView} from './originView.js';
import {
  findUnreported,
  hasSeenLong,
  isComplete,
  listSeen,
  UNSEEN,
} from './seenSoftware.js';

/** Entries that are asked for their history; at first the answers of all count. */
const SOURCES = 4;
/** Answers that are needed later on, so that no entry out of step answers alone. */
const MIN_ANSWERS = 2;
/** Time after which the entries are asked again. */
const REQUEST_INTERVAL_MS: Milliseconds = 1_000;
/** How often they are asked for a set of which this entry has no list. */
const MAX_ROUNDS_UNSEEN = 10;

/**
 * Asks other entries for the history of the sets of streams that this one sees too
 * briefly, or not at all yet: what they know may be gone once it sees them.
 */
export function requestHistories(
  view: OriginView,
  draft: OriginDraft,
  now: TurnTime,
): void {
  for (const set of listStreamSets(view.board.configuration)) {
    const seen = draft.seen.get(set) ?? UNSEEN;
    const askedAt = seen.handover.askedAt ?? Number.NEGATIVE_INFINITY;
    const isDue = now.monotonic - askedAt >= REQUEST_INTERVAL_MS;
    if (isDue && isHistoryWanted(seen, draft, now)) {
      requestHistory(view, draft, set, seen, now);
    }
  }
}

function isHistoryWanted(
  seen: SeenSoftware,
  {memoryMs}: OriginDraft,
  now: TurnTime,
): boolean {
  const {since, sole, handover} = seen;
  return since === null
    ? sole === null && handover.rounds < MAX_ROUNDS_UNSEEN
    : !isComplete(seen, memoryMs, now);
}

/**
 * Returns whether the entries that this one has asked know no more than it does, so
 * that nobody takes streams without a record for those of a certain software.
 */
export function hasOnlyNewSources(
  {board}: OriginView,
  seen: SeenSoftware | undefined,
): boolean {
  const answers = [...(seen?.handover.answers.values() ?? [])];
  const enough = Math.min(MIN_ANSWERS, listOtherEntries(board).length);
  return answers.length >= enough && answers.every(answer => answer === null);
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
  if (!hasSeenLong(known, memoryMs, now)) {
    return null;
  }
  const sole = findUnreported(known, memoryMs, now);
  return {
    ageMs: now.monotonic - since,
    isDoubted: !isComplete(known, memoryMs, now),
    sole:
      sole === undefined
        ? null
        : {software: sole.software, ageMs: now.monotonic - sole.seenAt},
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
  if (seen === undefined || !isHistoryWanted(seen, draft, now)) {
    return;
  }
  const answers = new Map(seen.handover.answers);
  answers.set(from, history && toOwnTime(history, now));
  const handover = {...seen.handover, answers};
  const known = pickHistories(seen, [...answers.values()], draft, now);
  const wanted = handover.rounds > 1 ? MIN_ANSWERS : SOURCES;
  const enough = Math.min(wanted, listOtherEntries(board).length);
  if (answers.size < enough || known.length === 0) {
    draft.seen.put(set, {...seen, handover});
    return;
  }
  draft.seen.put(set, addHistories({...seen, handover}, known));
  if (listSeen(draft.seen.get(set), draft.memoryMs, now).length > 1) {
    requestOrigins(board, draft, set);
  }
}

/** Asks for the reports that the process before this one was sent. */
function requestOrigins(
  board: OriginView['board'],
  draft: OriginDraft,
  set: EndpointSetId,
): void {
  for (const {node, peer} of listOtherEntries(board)) {
    draft.send(node, peer, {kind: 'streamOriginsRequested', set});
  }
}

/**
 * Picks the histories that count: those of entries that were in step. If none was,
 * as after an outage of the control daemons, entries that have watched for long
 * enough unite all that they have seen.
 */
function pickHistories(
  seen: SeenSoftware,
  answers: readonly (SoftwareHistory | null)[],
  {memoryMs}: OriginDraft,
  now: TurnTime,
): readonly SoftwareHistory[] {
  const known = answers.filter(answer => answer !== null);
  const firm = known.filter(({isDoubted}) => !isDoubted);
  if (firm.length > 0 || !hasSeenLong(seen, memoryMs, now)) {
    return firm;
  }
  const {since, sole} = seen;
  const own = {since: since!, software: [], sole, isDoubted: true};
  return known.length === 0 ? [] : [own, ...known];
}

function toOwnTime(
  {ageMs, software, sole, isDoubted}: ReportedHistory,
  {monotonic}: TurnTime,
): SoftwareHistory {
  const toPast = (item: ReportedSoftware): PastSoftware => ({
    software: item.software,
    seenAt: monotonic - item.ageMs,
  });
  return {
    since: monotonic - ageMs,
    software: software.map(toPast),
    sole: sole && toPast(sole),
    isDoubted,
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
  const sole = mergeSole(histories);
  // Without a list of its own, an entry knows nothing of the time since then.
  const since =
    seen.since === null
      ? null
      : Math.max(...histories.map(history => history.since));
  return {...seen, since, past, sole, doubtedAt: null};
}

/** Returns the latest time of a single software, if all agree which it was. */
function mergeSole(histories: readonly SoftwareHistory[]): PastSoftware | null {
  const soles = histories.map(({sole}) => sole);
  const [first] = soles;
  if (!first || soles.some(sole => sole?.software !== first.software)) {
    return null;
  }
  const times = soles.flatMap(sole => (sole === null ? [] : [sole.seenAt]));
  return {software: first.software, seenAt: Math.max(...times)};
}
