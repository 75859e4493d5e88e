import {iterateWhile} from '@gentianshunt/board';
import type {TurnTime} from '@gentianshunt/board';
import {findObject, formatObjectKey} from '@gentianshunt/configuration';
import type {ObjectKey} from '@gentianshunt/configuration';
import {defineControlController} from '@gentianshunt/controlModel';
import type {ControlController} from '@gentianshunt/controlModel';
import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';

import {ASSIGNMENT_SECTIONS, createAssignmentDraft} from './assignmentDraft.js';
import type {
  AssignmentDraft,
  AssignmentReads,
  AssignmentView,
  AssignmentWrite,
  AssignmentWrites,
} from './assignmentDraft.js';
import {pickLeaders} from './leaderChoice.js';
import {isLeaseRecoveryOver} from './leaderStatus.js';

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
