import type {TurnTime} from '@gentianshunt/board';
import {isLeaseValid} from '@gentianshunt/clock';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  defineEntryController,
  findEntryAddress,
} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryMessage,
  EntryQuotaKey,
  EntryQuotaUsage,
  EntryWrite,
  QuotaRequest,
  QuotaUsageReport,
  ReportedUsage,
} from '@gentianshunt/entryModel';
import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';
import {addToWindow, removeExpiredSlices} from '@gentianshunt/limits';
import type {WindowSlices} from '@gentianshunt/limits';

import {decideQuotaRequest, mergeProcessSlices} from './decideQuotaRequest.js';
import {findQuotaOwner} from './findQuotaOwner.js';
import {
  hasMostReports,
  isWindowKnown,
  readTolerance,
} from './quotaOwnerView.js';
import type {QuotaOwnerReads, QuotaOwnerView} from './quotaOwnerView.js';

/**
 * Largest variation of the computed start time of one process. The start time
 * is computed from when messages arrive, and their transit times differ.
 */
const MAX_START_JITTER_MS: Milliseconds = 250;

type QuotaOwnerWrites = 'reportedEntries' | 'ownedQuotaUsage';
type QuotaOwnerWrite = EntryWrite<QuotaOwnerWrites>;

/**
 * Creates the controller of the quota owner: it counts the usage of all entries
 * and decides quota requests for the accounts whose set this entry leads.
 */
export function createQuotaOwnerController(): EntryController {
  return defineEntryController<QuotaOwnerReads, QuotaOwnerWrites>({
    name: 'quotaOwner',
    reads: [
      'identity',
      'control',
      'configuration',
      'leaderships',
      'reportedEntries',
      'ownedQuotaUsage',
    ],
    writes: ['reportedEntries', 'ownedQuotaUsage'],
    observes: ['entryMessage', 'timerDue'],
    run: (view, now) => [
      ...queryChangedSets(view, now),
      ...handleObservation(view, now),
    ],
  });
}

function handleObservation(
  view: QuotaOwnerView,
  now: TurnTime,
): readonly QuotaOwnerWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'entryMessage':
      return handleMessage(view, observation.from, observation.message, now);
    case 'timerDue':
      return observation.timer.kind === 'housekeeping'
        ? [...removeExpired(view, now), ...queryMissingReports(view, now)]
        : [];
    default:
      return [];
  }
}

/** Queries the usage of all entries when this entry becomes a set leader. */
function queryChangedSets(
  view: QuotaOwnerView,
  now: TurnTime,
): readonly QuotaOwnerWrite[] {
  return [...view.readChanges('leaderships')].flatMap(set =>
    queryEntries(view, set as EndpointSetId, now),
  );
}

/** Queries again the entries whose usage report is missing. */
function queryMissingReports(
  view: QuotaOwnerView,
  now: TurnTime,
): readonly QuotaOwnerWrite[] {
  return [...view.board.leaderships.keys()].flatMap(set =>
    queryEntries(view, set, now),
  );
}

function queryEntries(
  view: QuotaOwnerView,
  set: EndpointSetId,
  now: TurnTime,
): readonly QuotaOwnerWrite[] {
  const {leaderships, reportedEntries, control} = view.board;
  const leadership = leaderships.get(set);
  if (leadership === undefined || isWindowKnown(view, leadership, now)) {
    return [];
  }
  const {epoch} = leadership;
  return control.directory.entries
    .filter(
      ({address: {node}}) => reportedEntries.get({set, node})?.epoch !== epoch,
    )
    .map(({address: {node: to, peer: address}}) => ({
      kind: 'effect',
      effect: {
        kind: 'sendEntry',
        to,
        address,
        message: {kind: 'quotaUsageQuery', set, epoch},
      },
    }));
}

function handleMessage(
  view: QuotaOwnerView,
  from: NodeId,
  message: EntryMessage,
  now: TurnTime,
): readonly QuotaOwnerWrite[] {
  switch (message.kind) {
    case 'quotaRequest':
      return answerQuotaRequest(view, from, message.request, now);
    case 'quotaUsageReport':
      return recordUsageReport(view, from, message.report, now);
    default:
      return [];
  }
}

/**
 * Records the usage that an entry reports. A record with the same or a higher
 * sequence comes from a later quota request, which reports more, and stays.
 */
function recordUsageReport(
  view: QuotaOwnerView,
  node: NodeId,
  {set, epoch, uses, coversMs}: QuotaUsageReport,
  now: TurnTime,
): readonly QuotaOwnerWrite[] {
  const {leaderships, ownedQuotaUsage} = view.board;
  if (leaderships.get(set)?.epoch !== epoch) {
    return [];
  }
  const records = uses
    .map(({account, sequence, used}) => {
      const key = {account, node};
      const report = {sequence, used, coversMs};
      return {key, value: createRecord(ownedQuotaUsage.get(key), report, now)};
    })
    .filter(
      ({key, value}) =>
        (ownedQuotaUsage.get(key)?.sequence ?? 0) < value.sequence,
    );
  return [
    ...records.map(({key, value}) => putRecord(key, value)),
    {
      kind: 'put',
      section: 'reportedEntries',
      key: {set, node},
      value: {epoch, startedAt: now.monotonic - coversMs},
    },
  ];
}

function answerQuotaRequest(
  view: QuotaOwnerView,
  from: NodeId,
  quotaRequest: QuotaRequest,
  now: TurnTime,
): readonly QuotaOwnerWrite[] {
  const {board} = view;
  const leadership = board.leaderships.get(quotaRequest.set);
  const isOwner =
    leadership !== undefined &&
    leadership.epoch === quotaRequest.epoch &&
    isLeaseValid(board.control.lease, now) &&
    hasMostReports(view, leadership, now) &&
    findQuotaOwner(board.configuration, quotaRequest.account)?.id ===
      quotaRequest.set;
  const key = {account: quotaRequest.account, node: from};
  const known = board.ownedQuotaUsage.get(key);
  const address = findEntryAddress(board.control.directory, from);
  const isOutdated =
    known !== undefined && known.sequence >= quotaRequest.sequence;
  // An entry that gets no answer asks the owner of another account.
  if (!isOwner || address === undefined || isOutdated) {
    return [];
  }
  const record = createRecord(known, quotaRequest, now);
  const decided = decideQuotaRequest(
    view,
    from,
    {quotaRequest, leadership, record},
    now,
  );
  return [
    {
      kind: 'put',
      section: 'ownedQuotaUsage',
      key,
      value: {...record, slices: decided.slices},
    },
    {
      kind: 'effect',
      effect: {
        kind: 'sendEntry',
        to: from,
        address,
        message: {kind: 'quotaDecision', decision: decided.decision},
      },
    },
  ];
}

/**
 * Creates the record of what an entry reports. A restarted process does not
 * know the usage of the process before it, which is kept as `earlier`.
 */
function createRecord(
  known: EntryQuotaUsage | undefined,
  reported: Pick<QuotaRequest, 'sequence' | 'used' | 'coversMs'>,
  now: TurnTime,
): EntryQuotaUsage {
  const {sequence, used, coversMs} = reported;
  const startedAt = now.monotonic - coversMs;
  const slices = toSlices(used, now);
  if (known === undefined) {
    return {sequence, startedAt, earlier: [], slices};
  }
  return startedAt - known.startedAt > MAX_START_JITTER_MS
    ? {sequence, startedAt, earlier: mergeProcessSlices(known), slices}
    : {...known, sequence, slices};
}

/**
 * Converts ages to local times. Ages are subtracted from the time of receipt,
 * so usage expires too late by the transit time of the message.
 */
function toSlices(used: readonly ReportedUsage[], now: TurnTime): WindowSlices {
  return used.reduce<WindowSlices>(
    (slices, {ageMs, tokens}) =>
      addToWindow(slices, now.monotonic - ageMs, tokens),
    [],
  );
}

function removeExpired(
  view: QuotaOwnerView,
  now: TurnTime,
): readonly QuotaOwnerWrite[] {
  const since = now.monotonic - readTolerance(view).windowMs;
  const writes: QuotaOwnerWrite[] = [];
  for (const {key, value} of view.board.ownedQuotaUsage.iterateFrom()) {
    const earlier = removeExpiredSlices(value.earlier, since);
    const slices = removeExpiredSlices(value.slices, since);
    if (slices !== value.slices || earlier !== value.earlier) {
      writes.push(putRecord(key, {...value, earlier, slices}));
    }
  }
  return writes;
}

function putRecord(
  key: EntryQuotaKey,
  value: EntryQuotaUsage,
): QuotaOwnerWrite {
  return mergeProcessSlices(value).length === 0
    ? {kind: 'delete', section: 'ownedQuotaUsage', key}
    : {kind: 'put', section: 'ownedQuotaUsage', key, value};
}
