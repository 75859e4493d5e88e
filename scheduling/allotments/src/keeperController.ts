import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  defineEntryController,
  findEntryAddress,
} from '@gentianshunt/entryModel';
import type {
  AllotmentAsk,
  AllotmentKey,
  AllotmentRecord,
  EntryController,
  EntryMessage,
  EntryWrite,
  ReportedUse,
  ToldUses,
} from '@gentianshunt/entryModel';
import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';
import {addToWindow, dropLapsed} from '@gentianshunt/limits';
import type {WindowSlices} from '@gentianshunt/limits';

import {decideAsk, joinSlices} from './decideAsk.js';
import {findKeeper} from './findKeeper.js';
import {hasHeardMost, isWindowKnown, readTolerance} from './keeperView.js';
import type {KeeperReads, KeeperView} from './keeperView.js';

/** Differences of a process's start, as messages take longer or shorter. */
const MAX_START_JITTER_MS: Milliseconds = 250;

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
    run: (view, now) => [
      ...askChanged(view, now),
      ...handleObservation(view, now),
    ],
  });
}

function handleObservation(
  view: KeeperView,
  now: TurnTime,
): readonly KeeperWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'entryMessage':
      return handleMessage(view, observation.from, observation.message, now);
    case 'timerDue':
      return observation.timer.kind === 'housekeeping'
        ? [...forgetLapsed(view, now), ...askUnheard(view, now)]
        : [];
    default:
      return [];
  }
}

/** Asks all entries as soon as this one leads a set. */
function askChanged(view: KeeperView, now: TurnTime): readonly KeeperWrite[] {
  return [...view.readChanges('leaderships')].flatMap(set =>
    askEntries(view, set as EndpointSetId, now),
  );
}

/** Asks the entries again that have not answered. */
function askUnheard(view: KeeperView, now: TurnTime): readonly KeeperWrite[] {
  return [...view.board.leaderships.keys()].flatMap(set =>
    askEntries(view, set, now),
  );
}

function askEntries(
  view: KeeperView,
  set: EndpointSetId,
  now: TurnTime,
): readonly KeeperWrite[] {
  const {leaderships, heardEntries, control} = view.board;
  const leadership = leaderships.get(set);
  if (leadership === undefined || isWindowKnown(view, leadership, now)) {
    return [];
  }
  const {epoch} = leadership;
  return control.directory.entries
    .filter(
      ({address: {node}}) => heardEntries.get({set, node})?.epoch !== epoch,
    )
    .map(({address: {node: to, peer: address}}) => ({
      kind: 'order',
      order: {
        kind: 'sendEntry',
        to,
        address,
        message: {kind: 'allotmentInquiry', set, epoch},
      },
    }));
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
  {set, epoch, uses, coversMs}: ToldUses,
  now: TurnTime,
): readonly KeeperWrite[] {
  const {leaderships, keptAllotments} = view.board;
  if (leaderships.get(set)?.epoch !== epoch) {
    return [];
  }
  const records = uses
    .map(({organisation, sequence, used}) => {
      const key = {organisation, node};
      const told = {sequence, used, coversMs};
      return {key, value: createRecord(keptAllotments.get(key), told, now)};
    })
    .filter(
      ({key, value}) =>
        (keptAllotments.get(key)?.sequence ?? 0) < value.sequence,
    );
  return [
    ...records.map(({key, value}) => putRecord(key, value)),
    {
      kind: 'put',
      section: 'heardEntries',
      key: {set, node},
      value: {epoch, startedAt: now.monotonic - coversMs},
    },
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
    hasHeardMost(view, leadership, now) &&
    findKeeper(board.configuration, ask.organisation)?.id === ask.set;
  const key = {organisation: ask.organisation, node: from};
  const known = board.keptAllotments.get(key);
  const address = findEntryAddress(board.control.directory, from);
  const isLate = known !== undefined && known.sequence >= ask.sequence;
  // Left without an answer, the entry goes on with its own part.
  if (!isKeeper || address === undefined || isLate) {
    return [];
  }
  const record = createRecord(known, ask, now);
  const decided = decideAsk(view, from, {ask, leadership, record}, now);
  return [
    {
      kind: 'put',
      section: 'keptAllotments',
      key,
      value: {...record, slices: decided.slices},
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

/**
 * Takes up what an entry tells. A process that starts anew knows nothing of
 * the uses of the one before it, which count on.
 */
function createRecord(
  known: AllotmentRecord | undefined,
  told: Pick<AllotmentAsk, 'sequence' | 'used' | 'coversMs'>,
  now: TurnTime,
): AllotmentRecord {
  const {sequence, used, coversMs} = told;
  const startedAt = now.monotonic - coversMs;
  const slices = toSlices(used, now);
  if (known === undefined) {
    return {sequence, startedAt, earlier: [], slices};
  }
  return startedAt - known.startedAt > MAX_START_JITTER_MS
    ? {sequence, startedAt, earlier: joinSlices(known), slices}
    : {...known, sequence, slices};
}

/** The age of a use is counted from the receipt, so it lapses late. */
function toSlices(used: readonly ReportedUse[], now: TurnTime): WindowSlices {
  return used.reduce<WindowSlices>(
    (slices, {ageMs, tokens}) =>
      addToWindow(slices, now.monotonic - ageMs, tokens),
    [],
  );
}

function forgetLapsed(view: KeeperView, now: TurnTime): readonly KeeperWrite[] {
  const since = now.monotonic - readTolerance(view).windowMs;
  const writes: KeeperWrite[] = [];
  for (const {key, value} of view.board.keptAllotments.iterateFrom()) {
    const earlier = dropLapsed(value.earlier, since);
    const slices = dropLapsed(value.slices, since);
    if (slices !== value.slices || earlier !== value.earlier) {
      writes.push(putRecord(key, {...value, earlier, slices}));
    }
  }
  return writes;
}

function putRecord(key: AllotmentKey, value: AllotmentRecord): KeeperWrite {
  return joinSlices(value).length === 0
    ? {kind: 'delete', section: 'keptAllotments', key}
    : {kind: 'put', section: 'keptAllotments', key, value};
}
