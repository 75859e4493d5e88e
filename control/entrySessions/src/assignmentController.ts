import {createOrderedDraft, iterateWhile} from '@gentianshunt/board';
import type {OrderedDraft, TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  findObject,
  formatObjectKey,
  isQuotaSet,
} from '@gentianshunt/configuration';
import type {ObjectKey} from '@gentianshunt/configuration';
import {defineControlController} from '@gentianshunt/controlModel';
import type {
  AssignmentProposal,
  ControlController,
  SetLeaderLoadKey,
} from '@gentianshunt/controlModel';
import {sortByRendezvous} from '@gentianshunt/hashing';
import type {EndpointSetId, NodeId, RegionId} from '@gentianshunt/identifiers';

import {
  ASSIGNMENT_SECTIONS,
  compareLoads,
  createAssignmentDraft,
} from './assignmentDraft.js';
import type {
  AssignmentDraft,
  AssignmentReads,
  AssignmentView,
  AssignmentWrite,
  AssignmentWrites,
} from './assignmentDraft.js';
import {isLeaseRecoveryOver} from './leaderStatus.js';

/** Time after which an unapplied assignment is proposed again. */
export const ASSIGNMENT_RETRY_MS: Milliseconds = 2_000;
/** Maximum number of leader assignments proposed in one turn. */
export const MAX_ASSIGNMENTS_PER_TURN = 100;

/**
 * Creates the controller that assigns a leader to each endpoint set. It keeps
 * track of the entries that can lead and of the sets without a leader, and
 * proposes assignments from the leading control daemon only.
 */
export function createAssignmentController(): ControlController {
  return defineControlController<AssignmentReads, AssignmentWrites>({
    name: 'assignments',
    reads: [
      'identity',
      'role',
      'configuration',
      'objectKinds',
      'sessions',
      ...ASSIGNMENT_SECTIONS,
    ],
    writes: ASSIGNMENT_SECTIONS,
    observes: ['timerDue'],
    run: (view, now) => runAssignments(view, now),
  });
}

function runAssignments(
  view: AssignmentView,
  now: TurnTime,
): readonly AssignmentWrite[] {
  const {role, assignmentPhase} = view.board;
  if (role.kind !== 'leader') {
    return assignmentPhase.kind === 'idle' ? [] : clearAssignments(view);
  }
  const draft = createAssignmentDraft(view.board);
  if (assignmentPhase.kind === 'idle') {
    startAssignments(view, draft);
  } else {
    processChanges(view, draft);
  }
  const {observation} = view;
  const isDue =
    observation?.kind === 'timerDue' && observation.timer.kind === 'sessions';
  if (!isDue) {
    return draft.listWrites();
  }
  completeLeaseRecovery(view, draft, now);
  const wanted = pickLeaders(view, draft, now);
  return [
    ...draft.listWrites(),
    ...(wanted.length === 0
      ? []
      : [
          {kind: 'set', section: 'assignmentProposals', value: wanted} as const,
        ]),
  ];
}

/**
 * Clears the sections when this daemon stops leading. When it leads again, they
 * are rebuilt from the configuration and the sessions.
 */
function clearAssignments(view: AssignmentView): readonly AssignmentWrite[] {
  const draft = createAssignmentDraft(view.board);
  for (const set of view.board.setLeaders.keys()) {
    draft.setLeader(set, null);
  }
  for (const node of view.board.setLeaderCandidates.keys()) {
    draft.removeCandidate(node);
  }
  for (const set of view.board.leaderlessSets.keys()) {
    draft.leaderlessSets.delete(set);
  }
  draft.phase = {kind: 'idle'};
  return draft.listWrites();
}

function startAssignments(view: AssignmentView, draft: AssignmentDraft): void {
  draft.phase = {kind: 'recovering'};
  for (const node of view.board.sessions.keys()) {
    processSession(view, draft, node);
  }
  const from = {kind: 'endpointSet', object: '' as ObjectKey} as const;
  const sets = iterateWhile(
    view.board.objectKinds,
    from,
    key => key.kind === 'endpointSet',
  );
  for (const {key} of sets) {
    processSet(view, draft, readSetId(key.object));
  }
}

function processChanges(view: AssignmentView, draft: AssignmentDraft): void {
  for (const node of view.readChanges('sessions')) {
    processSession(view, draft, node as NodeId);
  }
  for (const key of view.readChanges('configuration')) {
    const [kind] = (key as ObjectKey).split('/', 1);
    if (kind === 'endpointSet' || kind === 'setLeadership') {
      processSet(view, draft, readSetId(key as ObjectKey));
    }
  }
}

function readSetId(key: ObjectKey): EndpointSetId {
  return key.slice(key.indexOf('/') + 1) as EndpointSetId;
}

/** Unassigns the sets of an entry whose session ended or that is draining. */
function processSession(
  view: AssignmentView,
  draft: AssignmentDraft,
  node: NodeId,
): void {
  const session = view.board.sessions.get(node);
  const canLead = session !== undefined && !session.draining;
  if (canLead === draft.isCandidate(node)) {
    return;
  }
  if (canLead) {
    draft.putCandidate(session.entry);
    draft.listSets(node).forEach(set => draft.leaderlessSets.delete(set));
  } else {
    draft.removeCandidate(node);
    unassignSets(draft, node);
  }
}

function unassignSets(draft: AssignmentDraft, node: NodeId): void {
  for (const set of draft.listSets(node)) {
    addLeaderlessSet(draft, set);
  }
}

function addLeaderlessSet(draft: AssignmentDraft, set: EndpointSetId): void {
  if (draft.leaderlessSets.get(set) === undefined) {
    draft.leaderlessSets.put(set, {proposedAt: Number.NEGATIVE_INFINITY});
  }
}

function processSet(
  view: AssignmentView,
  draft: AssignmentDraft,
  set: EndpointSetId,
): void {
  const {configuration} = view.board;
  const isExisting = configuration.has(formatObjectKey('endpointSet', set));
  const leader = findObject(configuration, 'setLeadership', set)?.node;
  draft.setLeader(set, isExisting ? (leader ?? null) : null);
  const isLed = leader !== undefined && isConsideredAlive(draft, leader);
  if (!isExisting || isLed) {
    draft.leaderlessSets.delete(set);
  } else {
    addLeaderlessSet(draft, set);
  }
}

/**
 * Returns whether an entry counts as alive. During the lease recovery period
 * every entry does, since one without a session may still hold a lease.
 */
function isConsideredAlive(draft: AssignmentDraft, node: NodeId): boolean {
  return draft.phase.kind === 'recovering' || draft.isCandidate(node);
}

/**
 * Ends the lease recovery period and unassigns the sets of entries that have
 * not opened a session with the new leader.
 */
function completeLeaseRecovery(
  view: AssignmentView,
  draft: AssignmentDraft,
  now: TurnTime,
): void {
  const isDue =
    draft.phase.kind === 'recovering' &&
    isLeaseRecoveryOver(view.board.role, now);
  if (!isDue) {
    return;
  }
  draft.phase = {kind: 'recovered'};
  for (const [set, node] of view.board.setLeaders) {
    if (!draft.isCandidate(node) && draft.readLeader(set) === node) {
      addLeaderlessSet(draft, set);
    }
  }
}

function pickLeaders(
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
