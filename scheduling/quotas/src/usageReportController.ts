import type {TurnTime, View} from '@gentianshunt/board';
import {
  defineEntryController,
  findEntryAddress,
} from '@gentianshunt/entryModel';
import type {
  AccountUsage,
  EntryController,
  EntryMessage,
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';
import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';

import {findQuotaOwner} from './findQuotaOwner.js';
import {computeCoveredMs, toReportedUsage} from './usageReport.js';

type UsageQuery = Extract<EntryMessage, {readonly kind: 'quotaUsageQuery'}>;
type UsageReads = 'startedAt' | 'control' | 'configuration' | 'quotaUsage';
type UsageView = View<EntrySections, UsageReads, EntryObservation>;
type UsageWrite = EntryWrite<never>;

/** Creates the controller that reports the usage of this entry to owners. */
export function createUsageReportController(): EntryController {
  return defineEntryController<UsageReads, never>({
    name: 'usageReports',
    reads: ['startedAt', 'control', 'configuration', 'quotaUsage'],
    writes: [],
    observes: ['entryMessage'],
    run: (view, now) => {
      const {observation} = view;
      return observation?.kind === 'entryMessage' &&
        observation.message.kind === 'quotaUsageQuery'
        ? answerUsageQuery(view, observation.from, observation.message, now)
        : [];
    },
  });
}

function answerUsageQuery(
  view: UsageView,
  to: NodeId,
  {set, epoch}: UsageQuery,
  now: TurnTime,
): readonly UsageWrite[] {
  const address = findEntryAddress(view.board.control.directory, to);
  const coversMs = computeCoveredMs(view.board.startedAt, now);
  const report = {set, epoch, uses: listUsage(view, set, now), coversMs};
  const message = {kind: 'quotaUsageReport', report} as const;
  return address === undefined
    ? []
    : [{kind: 'effect', effect: {kind: 'sendEntry', to, address, message}}];
}

function listUsage(
  {board}: UsageView,
  set: EndpointSetId,
  now: TurnTime,
): readonly AccountUsage[] {
  return [...board.quotaUsage]
    .filter(
      ([account]) => findQuotaOwner(board.configuration, account)?.id === set,
    )
    .map(([account, {sequence, slices}]) => ({
      account,
      sequence,
      used: toReportedUsage(slices, now),
    }));
}
