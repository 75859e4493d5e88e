import {iterateWhile} from '@gentianshunt/board';
import type {OrderedEntry, TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import {
  DEFAULT_SHARED_BOUNDS,
  defineEntryController,
  findEntryAddress,
} from '@gentianshunt/entryModel';
import type {
  AllotmentAsk,
  AllotmentKey,
  AllotmentRecord,
  AllotmentVerdict,
  EntryController,
  EntryMessage,
  EntryObservation,
  EntrySections,
  EntryWrite,
  LeadershipState,
  ReportedUse,
  ToldUses,
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
import {findKeeper} from './findKeeper.js';

/** How long an entry may use tokens without asking. */
export const SPARE_LIFETIME_MS: Milliseconds = 2_000;
/** Part of an allotment up to which tokens are handed out unasked. */
export const SPARE_LOAD = 0.5;

type KeeperReads =
  | 'identity'
  | 'control'
  | 'configuration'
  | 'leaderships'
  | 'heardEntries'
  | 'keptAllotments';
type KeeperView = View<EntrySections, KeeperReads, EntryObservation>;
type KeeperWrites = 'heardEntries' | 'keptAllotments';
type KeeperWrite = EntryWrite<KeeperWrites>;

/** Creates the controller that keeps the allotments of this entry's sets. */
export function createKeeperController(): EntryController {
  return defineEntryController<KeeperReads, KeeperWrites>({
    name: 'allotmentKeeper',
    reads: [
      'identity',
      'control',
      'configuration',
      'leaderships',
      'heardEntries',
      'keptAllotments',
    ],
    writes: ['heardEntries', 'keptAllotments'],
    observes: ['entryMessage', 'timerDue'],
    run: (view, now) => {
      const {observation} = view;
      switch (observation?.kind) {
        case 'entryMessage':
          return handleMessage(
            view,
            observation.from,
            observation.message,
            now,
          );
        case 'timerDue':
          return observation.timer.kind === 'housekeeping'
            ? forgetLapsed(view, now)
            : [];
        default:
          return [];
      }
    },
  });
}

function handleMessage(
  view: KeeperView,
  from: NodeId,
  message: EntryMessage,
  now: TurnTime,
): readonly KeeperWrite[] {
  switch (message.kind) {
    case 'allotmentAsk':
      return answerAsk(view, from, message.ask, now);
    case 'allotmentUses':
      return noteUses(view, from, message.told, now);
    default:
      return [];
  }
}

/** A later ask tells more, so it is not replaced. */
function noteUses(
  view: KeeperView,
  node: NodeId,
  {set, epoch, uses}: ToldUses,
  now: TurnTime,
): readonly KeeperWrite[] {
  const {leaderships, keptAllotments} = view.board;
  if (leaderships.get(set)?.epoch !== epoch) {
    return [];
  }
  const records = uses
    .map(({organisation, sequence, used}) => ({
      key: {organisation, node},
      value: {sequence, slices: toSlices(used, now)},
    }))
    .filter(
      ({key, value}) =>
        (keptAllotments.get(key)?.sequence ?? 0) < value.sequence,
    );
  return [
    ...records.map(({key, value}) => putRecord(key, value)),
    {kind: 'put', section: 'heardEntries', key: {set, node}, value: epoch},
  ];
}

function answerAsk(
  view: KeeperView,
  from: NodeId,
  ask: AllotmentAsk,
  now: TurnTime,
): readonly KeeperWrite[] {
  const {board} = view;
  const leadership = board.leaderships.get(ask.set);
  const isKeeper =
    leadership !== undefined &&
    leadership.epoch === ask.epoch &&
    now.monotonic < board.control.leaseUntil &&
    hasHeardMost(view, leadership) &&
    findKeeper(board.configuration, ask.organisation)?.id === ask.set;
  const key = {organisation: ask.organisation, node: from};
  const known = board.keptAllotments.get(key);
  const address = findEntryAddress(board.control.directory, from);
  const isLate = known !== undefined && known.sequence >= ask.sequence;
  // Left without an answer, the entry goes on with its own part.
  if (!isKeeper || address === undefined || isLate) {
    return [];
  }
  const told = toSlices(ask.used, now);
  const decided = decideAsk(view, from, {ask, leadership, told}, now);
  return [
    {
      kind: 'put',
      section: 'keptAllotments',
      key,
      value: {
        sequence: ask.sequence,
        slices: decided.slices,
      },
    },
    {
      kind: 'order',
      order: {
        kind: 'sendEntry',
        to: from,
        address,
        message: {kind: 'allotmentVerdict', verdict: decided.verdict},
      },
    },
  ];
}

/** The age of a use is counted from the receipt, so it lapses late. */
function toSlices(used: readonly ReportedUse[], now: TurnTime): WindowSlices {
  return used.reduce<WindowSlices>(
    (slices, {ageMs, tokens}) =>
      addToWindow(slices, now.monotonic - ageMs, tokens),
    [],
  );
}

/** An ask with what it tells. */
interface AskContext {
  readonly ask: AllotmentAsk;
  readonly leadership: LeadershipState;
  readonly told: WindowSlices;
}

/** A verdict, and what the entry counts as having used after it. */
interface DecidedAsk {
  readonly verdict: AllotmentVerdict;
  readonly slices: WindowSlices;
}

function decideAsk(
  view: KeeperView,
  from: NodeId,
  context: AskContext,
  now: TurnTime,
): DecidedAsk {
  const {ask, told} = context;
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

/** What all entries use of an allotment. */
interface AllotmentUse {
  readonly slices: WindowSlices;
  readonly used: number;
  /** Set aside for entries that have used less than their unkept part. */
  readonly reserved: number;
  readonly entries: number;
}

function readUse(
  view: KeeperView,
  from: NodeId,
  {ask, told}: AskContext,
  now: TurnTime,
): AllotmentUse {
  const {organisation} = ask;
  const {windowMs} = readTolerance(view);
  const records = listRecords(view, organisation);
  const uses = new Map<NodeId, WindowSlices>(
    records.map(({key, value}) => [
      key.node,
      dropLapsed(value.slices, now.monotonic - windowMs),
    ]),
  );
  uses.set(from, told);
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

/** Counts the entries that have told what they used before. */
function countHeard(
  {board}: KeeperView,
  {set, epoch}: LeadershipState,
): number {
  return board.control.directory.entries.filter(
    ({address: {node}}) => board.heardEntries.get({set, node}) === epoch,
  ).length;
}

/** Before most entries have told their uses, a keeper can promise nothing. */
function hasHeardMost(view: KeeperView, leadership: LeadershipState): boolean {
  const {entries} = view.board.control.directory;
  return 2 * countHeard(view, leadership) >= entries.length;
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
    heard: countHeard(view, leadership),
  });
  const part = readRankPart(view.board.configuration, organisation, rank);
  const total = readTotal(view, organisation);
  return Math.max(0, Math.floor(total * (part - unseen)));
}

function readTolerance({board}: KeeperView) {
  return (board.identity.bounds ?? DEFAULT_SHARED_BOUNDS).allotmentTolerance;
}

/** Far above what any window can hold; entries ask for whole numbers. */
const UNLIMITED_TOKENS = Number.MAX_SAFE_INTEGER;

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

function forgetLapsed(view: KeeperView, now: TurnTime): readonly KeeperWrite[] {
  const since = now.monotonic - readTolerance(view).windowMs;
  const writes: KeeperWrite[] = [];
  for (const {key, value} of view.board.keptAllotments.iterateFrom()) {
    const slices = dropLapsed(value.slices, since);
    if (slices !== value.slices) {
      writes.push(putRecord(key, {...value, slices}));
    }
  }
  return writes;
}

function putRecord(key: AllotmentKey, value: AllotmentRecord): KeeperWrite {
  return value.slices.length === 0
    ? {kind: 'delete', section: 'keptAllotments', key}
    : {kind: 'put', section: 'keptAllotments', key, value};
}
