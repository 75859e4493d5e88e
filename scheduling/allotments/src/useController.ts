import type {TurnTime, View} from '@gentianshunt/board';
import {
  defineEntryController,
  findEntryAddress,
} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryMessage,
  EntryObservation,
  EntrySections,
  EntryWrite,
  OrganisationUse,
} from '@gentianshunt/entryModel';

import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';

import {findKeeper} from './findKeeper.js';
import {readCoveredMs, toReportedUses} from './toReportedUses.js';

type AllotmentInquiry = Extract<
  EntryMessage,
  {readonly kind: 'allotmentInquiry'}
>;
type UseReads = 'startedAt' | 'control' | 'configuration' | 'allotments';
type UseView = View<EntrySections, UseReads, EntryObservation>;
type UseWrite = EntryWrite<never>;

/** Creates the controller that tells keepers what this entry has used. */
export function createUseController(): EntryController {
  return defineEntryController<UseReads, never>({
    name: 'allotmentUses',
    reads: ['startedAt', 'control', 'configuration', 'allotments'],
    writes: [],
    observes: ['entryMessage'],
    run: (view, now) => {
      const {observation} = view;
      return observation?.kind === 'entryMessage' &&
        observation.message.kind === 'allotmentInquiry'
        ? answerInquiry(view, observation.from, observation.message, now)
        : [];
    },
  });
}

function answerInquiry(
  view: UseView,
  to: NodeId,
  {set, epoch}: AllotmentInquiry,
  now: TurnTime,
): readonly UseWrite[] {
  const address = findEntryAddress(view.board.control.directory, to);
  const coversMs = readCoveredMs(view.board.startedAt, now);
  const told = {set, epoch, uses: listUses(view, set, now), coversMs};
  const message = {kind: 'allotmentUses', told} as const;
  return address === undefined
    ? []
    : [{kind: 'order', order: {kind: 'sendEntry', to, address, message}}];
}

function listUses(
  {board}: UseView,
  set: EndpointSetId,
  now: TurnTime,
): readonly OrganisationUse[] {
  return [...board.allotments]
    .filter(
      ([organisation]) =>
        findKeeper(board.configuration, organisation)?.id === set,
    )
    .map(([organisation, {sequence, slices}]) => ({
      organisation,
      sequence,
      used: toReportedUses(slices, now),
    }));
}
