import {iterateWhile} from '@gentianshunt/board';
import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import {
  DEFAULT_SHARED_BOUNDS,
  defineEntryController,
  findEntryAddress,
} from '@gentianshunt/entryModel';
import type {
  AllotmentAsk,
  AllotmentRecord,
  AllotmentVerdict,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
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
  readRankPart,
  readUnseenPart,
  readWindowTokens,
} from './allotmentLimit.js';
import {findKeeper} from './findKeeper.js';

/** How long an entry may use tokens without asking. */
export const SPARE_LIFETIME_MS: Milliseconds = 2_000;
/** Part of an allotment up to which tokens are handed out unasked. */
export const SPARE_LOAD = 0.5;

type KeeperReads =
  'identity' | 'control' | 'configuration' | 'leaderships' | 'keptAllotments';
type KeeperView = View<EntrySections, KeeperReads, EntryObservation>;
type KeeperWrite = EntryWrite<'keptAllotments'>;

/** Creates the controller that keeps the allotments of this entry's sets. */
export function createKeeperController(): EntryController {
  return defineEntryController<KeeperReads, 'keptAllotments'>({
    name: 'allotmentKeeper',
    reads: [
      'identity',
      'control',
      'configuration',
      'leaderships',
      'keptAllotments',
    ],
    writes: ['keptAllotments'],
    observes: ['entryMessage', 'timerDue'],
    run: (view, now) => {
      const {observation} = view;
      switch (observation?.kind) {
        case 'entryMessage':
          return observation.message.kind === 'allotmentAsk'
            ? answerAsk(view, observation.from, observation.message.ask, now)
            : [];
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
    findKeeper(board.configuration, ask.organisation)?.id === ask.set;
  const key = {organisation: ask.organisation, node: from};
  const known = board.keptAllotments.get(key);
  const address = findEntryAddress(board.control.directory, from);
  const isLate = known !== undefined && known.sequence >= ask.sequence;
  // Left without an answer, the entry goes on with its own part.
  if (!isKeeper || address === undefined || isLate) {
    return [];
  }
  const told = toSlices(ask, now);
  const decided = decideAsk(view, from, {ask, leadership, told}, now);
  return [
    {
      kind: 'put',
      section: 'keptAllotments',
      key,
      value: {sequence: ask.sequence, slices: decided.slices},
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
function toSlices({used}: AllotmentAsk, now: TurnTime): WindowSlices {
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
  {ask, leadership, told}: AskContext,
  now: TurnTime,
): DecidedAsk {
  const {board} = view;
  const {organisation, request, rank, tokens, epoch, sequence} = ask;
  const {windowMs} = readTolerance(view);
  const total = readTotal(view, organisation);
  const unseen = readUnseenPart(
    now.monotonic - leadership.grantsFrom,
    windowMs,
  );
  const part = readRankPart(board.configuration, organisation, rank) - unseen;
  const limitTokens = Math.max(0, Math.floor(total * part));
  const all = mergeSlices([told, ...listOthers(view, organisation, from, now)]);
  const usedTokens = sumWindow(all);
  // A request larger than the allotment goes ahead when nothing else did.
  const isCovered = usedTokens <= Math.max(limitTokens, tokens);
  const excess = usedTokens - limitTokens;
  const verdict = {
    organisation,
    epoch,
    sequence,
    request,
    usedTokens,
    limitTokens,
  };
  if (!isCovered) {
    const retryAfterMs = estimateRelief(all, {
      now: now.monotonic,
      windowMs,
      amount: excess,
    });
    return {
      verdict: {...verdict, isCovered, retryAfterMs, spareTokens: 0},
      slices: addToWindow(told, now.monotonic, -tokens),
    };
  }
  const entries = Math.max(1, board.control.directory.entries.length);
  const room = SPARE_LOAD * limitTokens - usedTokens;
  const spareTokens = Math.max(0, Math.floor(room / entries));
  return {
    verdict: {...verdict, isCovered, retryAfterMs: 0, spareTokens},
    // Spare tokens count as used at the end of their lifetime.
    slices: addToWindow(told, now.monotonic + SPARE_LIFETIME_MS, spareTokens),
  };
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

function listOthers(
  view: KeeperView,
  organisation: OrganisationId,
  node: NodeId,
  now: TurnTime,
): readonly WindowSlices[] {
  const since = now.monotonic - readTolerance(view).windowMs;
  const from = {organisation, node: '' as NodeId};
  const records = iterateWhile(
    view.board.keptAllotments,
    from,
    key => key.organisation === organisation,
  );
  return Array.from(records)
    .filter(({key}) => key.node !== node)
    .map(({value}) => dropLapsed(value.slices, since));
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

function putRecord(
  key: {readonly organisation: OrganisationId; readonly node: NodeId},
  value: AllotmentRecord,
): KeeperWrite {
  return value.slices.length === 0
    ? {kind: 'delete', section: 'keptAllotments', key}
    : {kind: 'put', section: 'keptAllotments', key, value};
}
