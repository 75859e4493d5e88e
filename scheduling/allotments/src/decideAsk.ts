import {iterateWhile} from '@gentianshunt/board';
import type {OrderedEntry, TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import type {
  AllotmentAsk,
  AllotmentKey,
  AllotmentRecord,
  AllotmentVerdict,
  LeadershipState,
} from '@gentianshunt/entryModel';
import type {NodeId, OrganisationId} from '@gentianshunt/identifiers';
import {
  addToWindow,
  dropLapsed,
  estimateRelief,
  mergeSlices,
  sumWindow,
} from '@gentianshunt/limits';
import type {WindowSlices} from '@gentianshunt/limits';

import {
  estimateUnseenPart,
  readRankPart,
  readUnkeptTokens,
  readWindowTokens,
} from './allotmentLimit.js';
import {readTolerance, sumUntold} from './keeperView.js';
import type {KeeperView} from './keeperView.js';

/** How long an entry may use tokens without asking. */
export const SPARE_LIFETIME_MS: Milliseconds = 2_000;
/** Part of an allotment up to which tokens are handed out unasked. */
export const SPARE_LOAD = 0.5;

/** Far above what any window can hold; entries ask for whole numbers. */
const UNLIMITED_TOKENS = Number.MAX_SAFE_INTEGER;

/** An ask with what it tells. */
export interface AskContext {
  readonly ask: AllotmentAsk;
  readonly leadership: LeadershipState;
  /** What the entry tells, before the verdict. */
  readonly record: AllotmentRecord;
}

/** A verdict, and what the entry counts as having used after it. */
export interface DecidedAsk {
  readonly verdict: AllotmentVerdict;
  readonly slices: WindowSlices;
}

/** What all entries use of an allotment. */
interface AllotmentUse {
  readonly slices: WindowSlices;
  readonly used: number;
  /** Set aside for entries that have used less than their unkept part. */
  readonly reserved: number;
  readonly entries: number;
}

/** Decides whether an allotment covers a request. */
export function decideAsk(
  view: KeeperView,
  from: NodeId,
  context: AskContext,
  now: TurnTime,
): DecidedAsk {
  const {ask, record} = context;
  const told = record.slices;
  const {organisation, request, tokens, epoch, sequence} = ask;
  const {windowMs} = readTolerance(view);
  const use = readUse(view, from, context, now);
  const limitTokens = readLimit(view, context, use, now);
  const usedTokens = use.used + use.reserved;
  // A request larger than the allotment goes ahead when nothing else did.
  const isCovered =
    usedTokens <= limitTokens || (tokens > limitTokens && use.used <= tokens);
  const verdict = {
    organisation,
    epoch,
    sequence,
    request,
    isCovered,
    usedTokens,
    limitTokens,
  };
  if (!isCovered) {
    const amount = usedTokens - limitTokens;
    const relief = {now: now.monotonic, windowMs, amount};
    const retryAfterMs = estimateRelief(use.slices, relief);
    return {
      verdict: {...verdict, retryAfterMs, spareTokens: 0},
      slices: addToWindow(told, now.monotonic, -tokens),
    };
  }
  const room = SPARE_LOAD * limitTokens - usedTokens;
  const spareTokens = Math.max(0, Math.floor(room / use.entries));
  return {
    verdict: {...verdict, retryAfterMs: 0, spareTokens},
    // Spare tokens count as used at the end of their lifetime.
    slices: addToWindow(told, now.monotonic + SPARE_LIFETIME_MS, spareTokens),
  };
}

function readUse(
  view: KeeperView,
  from: NodeId,
  {ask, record}: AskContext,
  now: TurnTime,
): AllotmentUse {
  const {organisation} = ask;
  const {windowMs} = readTolerance(view);
  const records = listRecords(view, organisation);
  const since = now.monotonic - windowMs;
  const uses = new Map<NodeId, WindowSlices>(
    records.map(({key, value}) => [
      key.node,
      dropLapsed(joinSlices(value), since),
    ]),
  );
  uses.set(from, dropLapsed(joinSlices(record), since));
  const {entries} = view.board.control.directory;
  const total = readTotal(view, organisation);
  const part = readUnkeptTokens(total, entries.length);
  const reserved = entries.map(({address}) =>
    Math.max(0, part - sumWindow(uses.get(address.node) ?? [])),
  );
  const slices = mergeSlices(uses.values());
  return {
    slices,
    used: sumWindow(slices),
    reserved: reserved.reduce((sum, tokens) => sum + tokens, 0),
    entries: Math.max(1, entries.length),
  };
}

function readLimit(
  view: KeeperView,
  {ask: {organisation, rank}, leadership}: AskContext,
  {entries}: AllotmentUse,
  now: TurnTime,
): number {
  const unseen = estimateUnseenPart({
    keptForMs: now.monotonic - leadership.grantsFrom,
    windowMs: readTolerance(view).windowMs,
    entries,
    untold: sumUntold(view, leadership),
  });
  const part = readRankPart(view.board.configuration, organisation, rank);
  const total = readTotal(view, organisation);
  return Math.max(0, Math.floor(total * (part - unseen)));
}

/** An organisation without an allotment is not limited. */
function readTotal(view: KeeperView, organisation: OrganisationId): number {
  const {configuration} = view.board;
  const tokens =
    findObject(configuration, 'organisation', organisation)?.limits.tokens ??
    null;
  return tokens === null
    ? UNLIMITED_TOKENS
    : readWindowTokens(tokens, readTolerance(view));
}

/** Joins the uses of all processes of an entry. */
export function joinSlices({earlier, slices}: AllotmentRecord): WindowSlices {
  return earlier.length === 0 ? slices : mergeSlices([earlier, slices]);
}

function listRecords(
  {board}: KeeperView,
  organisation: OrganisationId,
): readonly OrderedEntry<AllotmentKey, AllotmentRecord>[] {
  const from = {organisation, node: '' as NodeId};
  return Array.from(
    iterateWhile(
      board.keptAllotments,
      from,
      key => key.organisation === organisation,
    ),
  );
}
