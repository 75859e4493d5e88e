import type {TurnTime, View} from '@gentianshunt/board';
import {listObjects} from '@gentianshunt/configuration';
import type {SetLeadership} from '@gentianshunt/configuration';
import {
  defineEntryController,
  findEntryAddress,
} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  OrganisationUse,
} from '@gentianshunt/entryModel';

import {findKeeper} from './findKeeper.js';
import {toReportedUses} from './toReportedUses.js';

/** How often a new keeper is told, since it may not know that it is one. */
export const TELL_TIMES = 3;

type UseReads = 'control' | 'configuration' | 'allotments' | 'toldKeepers';
type UseView = View<EntrySections, UseReads, EntryObservation>;
type UseWrite = EntryWrite<'toldKeepers'>;

/** Creates the controller that tells new keepers what this entry has used. */
export function createUseController(): EntryController {
  return defineEntryController<UseReads, 'toldKeepers'>({
    name: 'allotmentUses',
    reads: ['control', 'configuration', 'allotments', 'toldKeepers'],
    writes: ['toldKeepers'],
    observes: ['timerDue'],
    run: (view, now) => {
      const {observation, board} = view;
      return observation?.kind === 'timerDue' &&
        observation.timer.kind === 'housekeeping'
        ? listObjects(board.configuration, 'setLeadership').flatMap(keeper =>
            announceUses(view, keeper, now),
          )
        : [];
    },
  });
}

function announceUses(
  view: UseView,
  {id: set, node, epoch}: SetLeadership,
  now: TurnTime,
): readonly UseWrite[] {
  const {control, toldKeepers} = view.board;
  const told = toldKeepers.get(set);
  const times = told?.epoch === epoch ? told.times : 0;
  const address = findEntryAddress(control.directory, node);
  if (times >= TELL_TIMES || address === undefined) {
    return [];
  }
  const uses = listUses(view, set, now);
  return [
    {
      kind: 'put',
      section: 'toldKeepers',
      key: set,
      value: {epoch, times: times + 1},
    },
    {
      kind: 'order',
      order: {
        kind: 'sendEntry',
        to: node,
        address,
        message: {kind: 'allotmentUses', told: {set, epoch, uses}},
      },
    },
  ];
}

function listUses(
  {board}: UseView,
  set: SetLeadership['id'],
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
