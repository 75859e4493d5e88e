/** Reads and stores the fair shares of the organisations of a set. */
import type {View} from '@gentianshunt/board';
import {findObject} from '@gentianshunt/configuration';
import {iterateFairShares} from '@gentianshunt/entryModel';
import type {
  DemandReportRecord,
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';
import type {EndpointSetId, OrganisationId} from '@gentianshunt/identifiers';
import {limitCredit} from '@gentianshunt/policy';

import type {FairShareState} from './allocation.js';
import {listWaitingOrganisations} from './openDemand.js';

type FairShareView = View<
  EntrySections,
  'configuration' | 'fairShares',
  EntryObservation
>;

/**
 * Lists the fair shares of the organisations with waiting requests. The credit
 * that an organisation gains while it is idle is limited.
 */
export function listFairShares(
  view: FairShareView,
  set: EndpointSetId,
  records: readonly DemandReportRecord[],
): readonly FairShareState[] {
  const known = [...iterateFairShares(view.board.fairShares, set)];
  const maxVirtualTime = Math.max(0, ...known.map(({value}) => value));
  return [...listWaitingOrganisations(records)].map(organisation => ({
    organisation,
    weight: readWeight(view, organisation),
    virtualTime: limitCredit(
      view.board.fairShares.get({set, organisation}) ?? maxVirtualTime,
      maxVirtualTime,
    ),
  }));
}

function readWeight(view: FairShareView, organisation: OrganisationId): number {
  const object = findObject(
    view.board.configuration,
    'organisation',
    organisation,
  );
  return object?.weight ?? 1;
}

/** Creates the write that stores the fair share of an organisation. */
export function putFairShare(
  set: EndpointSetId,
  {organisation, virtualTime}: FairShareState,
): EntryWrite<'fairShares'> {
  return {
    kind: 'put',
    section: 'fairShares',
    key: {set, organisation},
    value: virtualTime,
  };
}
