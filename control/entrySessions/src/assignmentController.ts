import {compareBy, createOrderedDraft, iterateWhile} from '@gentianshunt/board';
import type {OrderedDraft, TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject, formatObjectKey} from '@gentianshunt/configuration';
import type {ObjectKey} from '@gentianshunt/configuration';
import {defineControlController} from '@gentianshunt/controlModel';
import type {
  ControlController,
  LeaderLoadKey,
  WantedAssignment,
} from '@gentianshunt/controlModel';
import type {EndpointSetId, NodeId, RegionId} from '@gentianshunt/identifiers';

import {ASSIGNMENT_SECTIONS, createAssignmentDraft} from './assignmentDraft.js';
import type {
  AssignmentDraft,
  AssignmentReads,
  AssignmentView,
  AssignmentWrite,
  AssignmentWrites,
} from './assignmentDraft.js';
import {isSettled} from './leaderStatus.js';

/** Time after which an assignment that was not applied is proposed again. */
export const REASSIGN_MS: Milliseconds = 2_000;
/** Most sets assigned at one time. */
export const MAX_ASSIGNMENTS_PER_TURN = 100;

/** Creates the controller that finds leaders for the sets. */
export function createAssignmentController(): ControlController {
  return defineControlController<AssignmentReads, AssignmentWrites>({
    name: 'assignments',
    reads: [
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
    return assignmentPhase.kind === 'idle' ? [] : clear(view);
  }
  const draft = createAssignmentDraft(view.board);
  if (assignmentPhase.kind === 'idle') {
    startAssignments(view, draft);
  } else {
    followChanges(view, draft);
  }
  const {observation} = view;
  const isDue =
    observation?.kind === 'timerDue' && observation.timer.kind === 'sessions';
  if (!isDue) {
    return draft.listWrites();
  }
  settle(view, draft, now);
  const wanted = pickLeaders(view, draft, now);
  return [
    ...draft.listWrites(),
    ...(wanted.length === 0
      ? []
      : [{kind: 'set', section: 'wantedAssignments', value: wanted} as const]),
  ];
}

/** The next term begins from the configuration and the sessions. */
function clear(view: AssignmentView): readonly AssignmentWrite[] {
  const draft = createAssignmentDraft(view.board);
  for (const set of view.board.setLeaders.keys()) {
    draft.setLeader(set, null);
  }
  for (const node of view.board.leaderCandidates.keys()) {
    draft.setCandidate(node, null);
  }
  for (const set of view.board.vacancies.keys()) {
    draft.vacancies.delete(set);
  }
  draft.phase = {kind: 'idle'};
  return draft.listWrites();
}

function startAssignments(view: AssignmentView, draft: AssignmentDraft): void {
  draft.phase = {kind: 'settling'};
  for (const node of view.board.sessions.keys()) {
    followSession(view, draft, node);
  }
  const from = {kind: 'endpointSet', object: '' as ObjectKey} as const;
  const sets = iterateWhile(
    view.board.objectKinds,
    from,
    key => key.kind === 'endpointSet',
  );
  for (const {key} of sets) {
    followSet(view, draft, readSetId(key.object));
  }
}

function followChanges(view: AssignmentView, draft: AssignmentDraft): void {
  for (const node of view.readChanges('sessions')) {
    followSession(view, draft, node as NodeId);
  }
  for (const key of view.readChanges('configuration')) {
    const [kind] = (key as ObjectKey).split('/', 1);
    if (kind === 'endpointSet' || kind === 'setLeadership') {
      followSet(view, draft, readSetId(key as ObjectKey));
    }
  }
}

function readSetId(key: ObjectKey): EndpointSetId {
  return key.slice(key.indexOf('/') + 1) as EndpointSetId;
}

/** A draining or vanished entry hands its sets over. */
function followSession(
  view: AssignmentView,
  draft: AssignmentDraft,
  node: NodeId,
): void {
  const session = view.board.sessions.get(node);
  const isWilling = session !== undefined && !session.draining;
  if (isWilling === draft.isCandidate(node)) {
    return;
  }
  draft.setCandidate(node, isWilling ? session.entry.region : null);
  if (!isWilling) {
    vacateSets(draft, node);
  } else {
    draft.listSets(node).forEach(set => draft.vacancies.delete(set));
  }
}

function vacateSets(draft: AssignmentDraft, node: NodeId): void {
  for (const set of draft.listSets(node)) {
    openVacancy(draft, set);
  }
}

function openVacancy(draft: AssignmentDraft, set: EndpointSetId): void {
  if (draft.vacancies.get(set) === undefined) {
    draft.vacancies.put(set, {proposedAt: Number.NEGATIVE_INFINITY});
  }
}

function followSet(
  view: AssignmentView,
  draft: AssignmentDraft,
  set: EndpointSetId,
): void {
  const {configuration} = view.board;
  const isKnown = configuration.has(formatObjectKey('endpointSet', set));
  const leader = findObject(configuration, 'setLeadership', set)?.node;
  draft.setLeader(set, isKnown ? (leader ?? null) : null);
  const isLed = leader !== undefined && isAvailable(draft, leader);
  if (!isKnown || isLed) {
    draft.vacancies.delete(set);
  } else {
    openVacancy(draft, set);
  }
}

/** Before the leader has settled, an unknown entry may still hold a lease. */
function isAvailable(draft: AssignmentDraft, node: NodeId): boolean {
  return draft.phase.kind === 'settling' || draft.isCandidate(node);
}

/** Takes the sets from entries that the new leader has not heard of. */
function settle(
  view: AssignmentView,
  draft: AssignmentDraft,
  now: TurnTime,
): void {
  const isDue =
    draft.phase.kind === 'settling' && isSettled(view.board.role, now);
  if (!isDue) {
    return;
  }
  draft.phase = {kind: 'settled'};
  for (const [set, node] of view.board.setLeaders) {
    if (!draft.isCandidate(node) && draft.readLeader(set) === node) {
      openVacancy(draft, set);
    }
  }
}

const compareLoads = compareBy<keyof LeaderLoadKey, LeaderLoadKey>(
  'region',
  'count',
  'node',
);

function pickLeaders(
  view: AssignmentView,
  draft: AssignmentDraft,
  now: TurnTime,
): readonly WantedAssignment[] {
  const wanted: WantedAssignment[] = [];
  // Counts this turn's choices; the log's own count follows when it applies.
  const loads = createOrderedDraft({
    view: view.board.leaderLoads,
    compare: compareLoads,
  });
  for (const [set, vacancy] of view.board.vacancies) {
    const isDue =
      draft.vacancies.get(set) !== undefined &&
      now.monotonic - vacancy.proposedAt >= REASSIGN_MS;
    const chosen = isDue ? pickLeader(view, loads, set) : undefined;
    if (chosen !== undefined) {
      loads.delete(chosen);
      loads.put({...chosen, count: chosen.count + 1}, true);
      draft.vacancies.put(set, {proposedAt: now.monotonic});
      wanted.push({set, node: chosen.node});
    }
    if (wanted.length === MAX_ASSIGNMENTS_PER_TURN) {
      break;
    }
  }
  return wanted;
}

/** Prefers the least loaded entry of the set's region, then of any. */
function pickLeader(
  view: AssignmentView,
  loads: OrderedDraft<LeaderLoadKey, true>,
  set: EndpointSetId,
): LeaderLoadKey | undefined {
  const region = findObject(
    view.board.configuration,
    'endpointSet',
    set,
  )?.region;
  if (region === undefined) {
    return undefined;
  }
  const own = readLeastLoaded(loads, region);
  if (own?.region === region) {
    return own;
  }
  return listRegions(loads)
    .map(other => readLeastLoaded(loads, other)!)
    .reduce<LeaderLoadKey | undefined>(
      (best, load) =>
        best === undefined || load.count < best.count ? load : best,
      undefined,
    );
}

function readLeastLoaded(
  loads: OrderedDraft<LeaderLoadKey, true>,
  region: RegionId,
): LeaderLoadKey | undefined {
  const [first] = loads.iterateFrom({region, count: 0, node: '' as NodeId});
  return first?.key;
}

function listRegions(
  loads: OrderedDraft<LeaderLoadKey, true>,
): readonly RegionId[] {
  const regions: RegionId[] = [];
  let from = '' as RegionId;
  for (;;) {
    const found = readLeastLoaded(loads, from);
    if (found === undefined) {
      return regions;
    }
    regions.push(found.region);
    from = `${found.region}\u0000` as RegionId;
  }
}
