// Which entries are to lead the sets that have no leader.
import {createOrderedDraft} from '@gentianshunt/board';
import type {OrderedDraft, TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject, isQuotaSet} from '@gentianshunt/configuration';
import type {
  AssignmentProposal,
  SetLeaderLoadKey,
} from '@gentianshunt/controlModel';
import {sortByRendezvous} from '@gentianshunt/hashing';
import type {EndpointSetId, NodeId, RegionId} from '@gentianshunt/identifiers';

import {compareLoads} from './assignmentDraft.js';
import type {AssignmentDraft, AssignmentView} from './assignmentDraft.js';

/** Time after which an unapplied assignment is proposed again. */
export const ASSIGNMENT_RETRY_MS: Milliseconds = 2_000;
/** Maximum number of leader assignments proposed in one turn. */
export const MAX_ASSIGNMENTS_PER_TURN = 100;

/** Picks leaders for the sets whose assignment is due. */
export function pickLeaders(
  view: AssignmentView,
  draft: AssignmentDraft,
  now: TurnTime,
): readonly AssignmentProposal[] {
  const wanted: AssignmentProposal[] = [];
  // Counts the choices of this turn as well. The board's loads change only
  // when the log entries of the assignments are applied.
  const loads = createOrderedDraft({
    view: view.board.setLeaderLoads,
    compare: compareLoads,
  });
  const due = [...view.board.leaderlessSets]
    .filter(
      ([set, {proposedAt}]) =>
        draft.leaderlessSets.get(set) !== undefined &&
        now.monotonic - proposedAt >= ASSIGNMENT_RETRY_MS,
    )
    .map(([set]) => set);
  const endpointSets = due.filter(set => !isQuotaSet(set));
  for (const set of endpointSets.slice(0, MAX_ASSIGNMENTS_PER_TURN)) {
    const node = takeLeader(view, loads, set);
    if (node !== undefined) {
      wanted.push({set, node});
    }
  }
  wanted.push(...pickQuotaOwners(draft, due.filter(isQuotaSet), wanted));
  const proposed = wanted.slice(0, MAX_ASSIGNMENTS_PER_TURN);
  for (const {set} of proposed) {
    draft.leaderlessSets.put(set, {proposedAt: now.monotonic});
  }
  return proposed;
}

/**
 * Picks the leaders of quota sets among the entries that lead no endpoint set,
 * also none of those that are assigned in the same turn.
 */
function pickQuotaOwners(
  draft: AssignmentDraft,
  sets: readonly EndpointSetId[],
  assigned: readonly AssignmentProposal[],
): readonly AssignmentProposal[] {
  if (sets.length === 0) {
    return [];
  }
  const leaders = new Set(assigned.map(({node}) => node));
  const all = draft.listQuotaOwners();
  const idle = all.filter(node => !leaders.has(node));
  const nodes = idle.length > 0 ? idle : all;
  return sets.flatMap(set => {
    const [node] = sortByRendezvous(set, nodes, each => each);
    return node === undefined ? [] : [{set, node}];
  });
}

/** Picks the leader of an endpoint set and counts the set in its load. */
function takeLeader(
  view: AssignmentView,
  loads: OrderedDraft<SetLeaderLoadKey, true>,
  set: EndpointSetId,
): NodeId | undefined {
  const chosen = pickLeader(view, loads, set);
  if (chosen !== undefined) {
    loads.delete(chosen);
    loads.put({...chosen, load: addSet(view, chosen)}, true);
  }
  return chosen?.node;
}

/** Computes the load of a candidate that leads one more set. */
function addSet(
  {board}: AssignmentView,
  {node, load}: SetLeaderLoadKey,
): number {
  return load + 1 / board.setLeaderCandidates.get(node)!.cores;
}

/**
 * Picks the entry with the lowest load in the set's region, or in all regions
 * if that one has no candidate.
 */
function pickLeader(
  view: AssignmentView,
  loads: OrderedDraft<SetLeaderLoadKey, true>,
  set: EndpointSetId,
): SetLeaderLoadKey | undefined {
  const region = findObject(
    view.board.configuration,
    'endpointSet',
    set,
  )?.region;
  if (region === undefined) {
    return undefined;
  }
  const first = findLeastLoaded(loads, region);
  if (first?.region === region) {
    return first;
  }
  return listRegions(loads)
    .map(other => findLeastLoaded(loads, other)!)
    .reduce<SetLeaderLoadKey | undefined>(
      (best, load) =>
        best === undefined || load.load < best.load ? load : best,
      undefined,
    );
}

/**
 * Finds the entry with the lowest load in the first region with
 * candidates, from the given region on in sort order.
 */
function findLeastLoaded(
  loads: OrderedDraft<SetLeaderLoadKey, true>,
  region: RegionId,
): SetLeaderLoadKey | undefined {
  const [first] = loads.iterateFrom({region, load: 0, node: '' as NodeId});
  return first?.key;
}

function listRegions(
  loads: OrderedDraft<SetLeaderLoadKey, true>,
): readonly RegionId[] {
  const regions: RegionId[] = [];
  let from = '' as RegionId;
  for (;;) {
    const found = findLeastLoaded(loads, from);
    if (found === undefined) {
      return regions;
    }
    regions.push(found.region);
    // The smallest string that sorts after this region.
    from = `${found.region}\u0000` as RegionId;
  }
}
