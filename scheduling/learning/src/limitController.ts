import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import {
  defineEntryController,
  findEntryAddress,
} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryDecision,
  EntryObservation,
  EntrySections,
  EntryWrite,
  NamedLimit,
} from '@gentianshunt/entryModel';
import type {EndpointId, EndpointSetId} from '@gentianshunt/identifiers';
import {LIMIT_RETENTION_MS} from '@gentianshunt/policy';

/** Shortest time between two reports of an unchanged limit. */
const REPORT_INTERVAL_MS: Milliseconds = 2_000;

type LimitReads = 'control' | 'configuration' | 'leaderChanges' | 'namedLimits';
type EndpointSignal = Extract<
  EntryObservation,
  {readonly kind: 'endpointSignalled'}
>;
type LimitView = View<EntrySections, LimitReads, EntryObservation>;
type LimitWrite = EntryWrite<'namedLimits'>;

/**
 * Creates the controller that records the limits that endpoints name in answers
 * to this entry, and reports them to the leaders of their sets.
 */
export function createLimitController(): EntryController {
  return defineEntryController<LimitReads, 'namedLimits'>({
    name: 'limits',
    reads: ['control', 'configuration', 'leaderChanges', 'namedLimits'],
    writes: ['namedLimits'],
    observes: ['endpointSignalled', 'timerDue'],
    run: (view, now) => [
      ...handleObservation(view, now),
      ...reportToNewLeaders(view, now),
    ],
  });
}

function handleObservation(
  view: LimitView,
  now: TurnTime,
): readonly LimitWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'endpointSignalled':
      return recordLimit(view, observation, now);
    case 'timerDue':
      return observation.timer.kind === 'housekeeping'
        ? dropOldLimits(view, now)
        : [];
    default:
      return [];
  }
}

function recordLimit(
  view: LimitView,
  {set, endpoint, signals}: EndpointSignal,
  now: TurnTime,
): readonly LimitWrite[] {
  const {board} = view;
  const {limitPerSecond: perSecond, rejectionsPerSecond} = signals;
  const known = board.namedLimits.get(endpoint);
  const before = known?.perSecond ?? null;
  const rejectionsBefore = known?.rejectionsPerSecond ?? null;
  const isNamed = perSecond !== null || rejectionsPerSecond !== null;
  if (!isNamed && before === null && rejectionsBefore === null) {
    return [];
  }
  const isChanged =
    perSecond !== before || rejectionsPerSecond !== rejectionsBefore;
  const lastReportAt = known?.reportedAt ?? Number.NEGATIVE_INFINITY;
  const isDue = isChanged || now.monotonic - lastReportAt >= REPORT_INTERVAL_MS;
  const value: NamedLimit = {
    set,
    perSecond,
    rejectionsPerSecond,
    namedAt: now.monotonic,
    reportedAt: isDue ? now.monotonic : lastReportAt,
  };
  const decision: EntryDecision = {
    kind: 'endpointLimitNamed',
    set,
    endpoint,
    perSecond,
    before,
    rejectionsPerSecond,
  };
  return [
    {kind: 'put', section: 'namedLimits', key: endpoint, value},
    ...(isDue ? sendLimits(view, set, [[endpoint, value]], now) : []),
    ...(isChanged
      ? [{kind: 'effect', effect: {kind: 'logDecision', decision}} as const]
      : []),
  ];
}

/** A new set leader knows none of the limits. */
function reportToNewLeaders(
  view: LimitView,
  now: TurnTime,
): readonly LimitWrite[] {
  return [...view.readChanges('leaderChanges')].flatMap(key => {
    const limits = [...view.board.namedLimits].filter(
      ([, limit]) => limit.set === key,
    );
    return sendLimits(view, key as EndpointSetId, limits, now);
  });
}

function sendLimits(
  {board}: LimitView,
  set: EndpointSetId,
  named: readonly (readonly [EndpointId, NamedLimit])[],
  now: TurnTime,
): readonly LimitWrite[] {
  const {configuration, control} = board;
  const leader = findObject(configuration, 'setLeadership', set)?.node;
  const address = leader && findEntryAddress(control.directory, leader);
  if (leader === undefined || address === undefined || named.length === 0) {
    return [];
  }
  const limits = named.map(([endpoint, limit]) => ({
    endpoint,
    perSecond: limit.perSecond,
    rejectionsPerSecond: limit.rejectionsPerSecond,
    ageMs: now.monotonic - limit.namedAt,
  }));
  const message = {kind: 'endpointLimitsReported', set, limits} as const;
  return [
    {kind: 'effect', effect: {kind: 'sendEntry', to: leader, address, message}},
  ];
}

function dropOldLimits(
  {board}: LimitView,
  now: TurnTime,
): readonly LimitWrite[] {
  return [...board.namedLimits]
    .filter(([, {namedAt}]) => now.monotonic - namedAt >= LIMIT_RETENTION_MS)
    .map(([key]) => ({kind: 'delete', section: 'namedLimits', key}));
}
