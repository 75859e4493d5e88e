import {
  compareBy,
  createMapDraft,
  createOrderedDraft,
  iterateWhile,
} from '@gentianshunt/board';
import type {MapDraft, OrderedDraft, View} from '@gentianshunt/board';
import {isQuotaSet} from '@gentianshunt/configuration';
import type {
  AssignmentPhase,
  ControlObservation,
  ControlSections,
  ControlWrite,
  LeaderlessSet,
  LedSetKey,
  SetLeaderCandidate,
  SetLeaderLoadKey,
} from '@gentianshunt/controlModel';
import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';
import type {EntryAddress} from '@gentianshunt/messages';

/** The sections that hold the assignment of set leaders. */
export const ASSIGNMENT_SECTIONS = [
  'setLeaderCandidates',
  'setLeaderLoads',
  'ledSets',
  'setLeaders',
  'assignmentPhase',
  'leaderlessSets',
  'assignmentProposals',
] as const;

/** The sections that the assignment of set leaders writes. */
export type AssignmentWrites = (typeof ASSIGNMENT_SECTIONS)[number];
/** The sections that the assignment of set leaders reads. */
export type AssignmentReads =
  | AssignmentWrites
  | 'identity'
  | 'role'
  | 'configuration'
  | 'objectKinds'
  | 'sessions';
/** The part of the board that the assignment of set leaders reads. */
export type AssignmentView = View<
  ControlSections,
  AssignmentReads,
  ControlObservation
>;
/** A write of the assignment of set leaders. */
export type AssignmentWrite = ControlWrite<AssignmentWrites>;

/**
 * The leader of each set with the indexes by candidate and load, including the
 * changes of the current turn.
 */
export interface AssignmentDraft {
  phase: AssignmentPhase;
  /** The sets that need a leader. */
  readonly leaderlessSets: MapDraft<EndpointSetId, LeaderlessSet>;
  /** Makes an entry a candidate, or replaces what is known of it. */
  putCandidate(entry: EntryAddress): void;
  removeCandidate(node: NodeId): void;
  /** Records the leader of a set; `null` means that it has none. */
  setLeader(set: EndpointSetId, node: NodeId | null): void;
  readLeader(set: EndpointSetId): NodeId | undefined;
  isCandidate(node: NodeId): boolean;
  /** Lists the sets that an entry leads. */
  listSets(node: NodeId): readonly EndpointSetId[];
  /** Lists the entries that may lead quota sets. */
  listQuotaOwners(): readonly NodeId[];
  listWrites(): readonly AssignmentWrite[];
}

interface SectionDrafts {
  /** This control daemon; an entry on its VM has the same id. */
  readonly self: NodeId;
  readonly candidates: MapDraft<NodeId, SetLeaderCandidate>;
  readonly loads: OrderedDraft<SetLeaderLoadKey, true>;
  readonly ledSets: OrderedDraft<LedSetKey, true>;
  readonly leaders: MapDraft<EndpointSetId, NodeId>;
}

/** Orders the candidates of a region by their load. */
export const compareLoads = compareBy<keyof SetLeaderLoadKey, SetLeaderLoadKey>(
  'region',
  'load',
  'node',
);
const compareLedSets = compareBy<keyof LedSetKey, LedSetKey>('node', 'set');

/** Creates a draft without changes. */
export function createAssignmentDraft(
  board: AssignmentView['board'],
): AssignmentDraft {
  const drafts: SectionDrafts = {
    self: board.identity.node,
    candidates: createMapDraft(board.setLeaderCandidates),
    loads: createOrderedDraft({
      view: board.setLeaderLoads,
      compare: compareLoads,
    }),
    ledSets: createOrderedDraft({view: board.ledSets, compare: compareLedSets}),
    leaders: createMapDraft(board.setLeaders),
  };
  const leaderlessSets = createMapDraft(board.leaderlessSets);
  const draft: AssignmentDraft = {
    phase: board.assignmentPhase,
    leaderlessSets,
    putCandidate: entry => putCandidate(drafts, entry),
    removeCandidate: node => removeCandidate(drafts, node),
    setLeader: (set, node) => setLeader(drafts, set, node),
    readLeader: set => drafts.leaders.get(set),
    isCandidate: node => drafts.candidates.get(node) !== undefined,
    listSets: node => listSets(drafts, node),
    listQuotaOwners: () => listQuotaOwners(board, drafts),
    listWrites: () => [
      ...drafts.candidates.listWrites('setLeaderCandidates' as const),
      ...drafts.loads.listWrites('setLeaderLoads' as const),
      ...drafts.ledSets.listWrites('ledSets' as const),
      ...drafts.leaders.listWrites('setLeaders' as const),
      ...leaderlessSets.listWrites('leaderlessSets' as const),
      ...(draft.phase === board.assignmentPhase
        ? []
        : [
            {
              kind: 'set',
              section: 'assignmentPhase',
              value: draft.phase,
            } as const,
          ]),
    ],
  };
  return draft;
}

function listSets(
  drafts: SectionDrafts,
  node: NodeId,
): readonly EndpointSetId[] {
  const from = {node, set: '' as EndpointSetId};
  const found = iterateWhile(drafts.ledSets, from, key => key.node === node);
  return Array.from(found, ({key}) => key.set);
}

/** Processor share of a VM whose entry does not report it. */
const DEFAULT_CORES = 1;
/** Sets of an average load that the work of the control leader equals. */
const CONTROL_LEADER_SETS = 1;

function countEndpointSets(drafts: SectionDrafts, node: NodeId): number {
  return listSets(drafts, node).filter(set => !isQuotaSet(set)).length;
}

/**
 * Lists the entries that neither lead an endpoint set nor run beside the
 * control leader; if there are none, all of them.
 */
function listQuotaOwners(
  {sessions}: AssignmentView['board'],
  drafts: SectionDrafts,
): readonly NodeId[] {
  const nodes = [...sessions.keys()].filter(
    node => drafts.candidates.get(node) !== undefined,
  );
  const idle = nodes.filter(
    node => node !== drafts.self && countEndpointSets(drafts, node) === 0,
  );
  return idle.length > 0 ? idle : nodes;
}

function putCandidate(
  drafts: SectionDrafts,
  {node, region, cores = DEFAULT_CORES}: EntryAddress,
): void {
  removeCandidate(drafts, node);
  addCandidate(drafts, node, {region, cores});
}

function removeCandidate(drafts: SectionDrafts, node: NodeId): void {
  const current = drafts.candidates.get(node);
  if (current !== undefined) {
    const {region, load} = current;
    drafts.loads.delete({region, load, node});
    drafts.candidates.delete(node);
  }
}

function addCandidate(
  drafts: SectionDrafts,
  node: NodeId,
  {region, cores}: Omit<SetLeaderCandidate, 'load'>,
): void {
  const controlSets = node === drafts.self ? CONTROL_LEADER_SETS : 0;
  const load = (countEndpointSets(drafts, node) + 1 + controlSets) / cores;
  drafts.candidates.put(node, {region, cores, load});
  drafts.loads.put({region, load, node}, true);
}

function setLeader(
  drafts: SectionDrafts,
  set: EndpointSetId,
  node: NodeId | null,
): void {
  const previous = drafts.leaders.get(set);
  if (previous !== undefined) {
    drafts.ledSets.delete({node: previous, set});
    drafts.leaders.delete(set);
    updateLoad(drafts, previous);
  }
  if (node !== null) {
    drafts.ledSets.put({node, set}, true);
    drafts.leaders.put(set, node);
    updateLoad(drafts, node);
  }
}

/** Updates the load of a candidate after it gained or lost a set. */
function updateLoad(drafts: SectionDrafts, node: NodeId): void {
  const candidate = drafts.candidates.get(node);
  if (candidate !== undefined) {
    removeCandidate(drafts, node);
    addCandidate(drafts, node, candidate);
  }
}
