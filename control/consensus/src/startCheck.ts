// When a member starts, it asks the other nodes (hello) what they remember of
// its data folder and whether they belong to a group. It takes part in the
// group only once enough of them have answered. Nodes without a group
// bootstrap one.

import type {TurnTime} from '@gentianshunt/board';
import type {
  ControlObservation,
  HaltReason,
  HelloAnswer,
} from '@gentianshunt/controlModel';
import type {Member} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import type {ConsensusDraft} from './consensusDraft.js';
import {
  addMemberships,
  computeQuorum,
  isInGroup,
  listPeers,
} from './members.js';
import type {MemberHelloReply, Sender} from './messageTypes.js';
import {endStartWait, isAwaitingVoters, listVoterNodes} from './startWait.js';
import {
  HELLO_INTERVAL_MS,
  resetElectionDeadline,
  scheduleElectionTimer,
  scheduleTimer,
  setLeaderContact,
  START_CHECK_TIMEOUT_MS,
} from './timing.js';

type Started = Extract<ControlObservation, {readonly kind: 'started'}>;
type Answers = ReadonlyMap<NodeId, HelloAnswer>;

/** Loads what the disk holds and starts the check of the data folder. */
export function handleStarted(
  draft: ConsensusDraft,
  started: Started,
  now: TurnTime,
): void {
  const {ballot, snapshot, base, entries} = started;
  draft.set('ballot', ballot);
  draft.disk.setStoredBallot(ballot);
  draft.log.restore({base, entries, commitIndex: snapshot?.index ?? 0});
  if (snapshot !== null) {
    const {index, members} = snapshot;
    draft.setSnapshot(snapshot);
    draft.set('memberships', [{index, members}]);
  }
  const since = snapshot?.index ?? 0;
  addMemberships(
    draft,
    entries.filter(entry => entry.index > since),
  );
  setLeaderContact(draft, {kind: 'started', at: now.monotonic});
  resetElectionDeadline(draft, now);
  scheduleElectionTimer(draft, now);
  startCheck(draft, new Map(), now);
  advanceStart(draft, now);
  sendHellos(draft, now);
}

/** Resends the hellos while their answers matter. */
export function handleHelloTimer(draft: ConsensusDraft, now: TurnTime): void {
  advanceStart(draft, now);
  sendHellos(draft, now);
}

function advanceStart(draft: ConsensusDraft, now: TurnTime): void {
  updateStartCheck(draft, now);
  endStartWait(draft, now);
}

function sendHellos(draft: ConsensusDraft, now: TurnTime): void {
  const isChecking = draft.read('startCheck').kind === 'checking';
  if (!isChecking && !isAwaitingVoters(draft, now)) {
    return;
  }
  broadcastHello(draft);
  scheduleTimer(draft, 'hello', HELLO_INTERVAL_MS);
}

/**
 * Sends a hello to the other nodes. The answer of a leader tells a member
 * whether its data folder still belongs to the group.
 */
export function broadcastHello(draft: ConsensusDraft): void {
  const formed = isInGroup(draft);
  const {seed: start} = draft.view.board.identity;
  const nodes = [...listHelloTargets(draft), ...listContacts(draft)];
  for (const node of new Set(nodes)) {
    draft.send({node, storage: null}, {kind: 'memberHello', formed, start});
  }
}

/** Lists the nodes whose answers the start check awaits. */
function listHelloTargets(draft: ConsensusDraft): readonly NodeId[] {
  return isInGroup(draft)
    ? listPeers(draft).map(member => member.node)
    : listContacts(draft);
}

/**
 * Lists the other nodes that may belong to the group. All members that this one
 * knows may have left for good.
 */
function listContacts(draft: ConsensusDraft): readonly NodeId[] {
  const {node: self} = draft.view.board.identity;
  return draft.read('contacts').filter(node => node !== self);
}

/**
 * Adds nodes that may belong to a group to those that a hello goes to. The
 * bootstrap members are among these from the start.
 */
export function addContacts(
  draft: ConsensusDraft,
  nodes: readonly NodeId[],
): void {
  const known = draft.read('contacts');
  const added = nodes.filter(node => !known.includes(node));
  if (added.length > 0) {
    draft.set('contacts', [...known, ...added]);
  }
}

/** Records an answer to this member's hello; may halt the member. */
export function handleHelloReply(
  draft: ConsensusDraft,
  from: Sender,
  reply: MemberHelloReply,
  now: TurnTime,
): void {
  const reason = findHaltReason(draft, from, reply);
  if (reason !== undefined) {
    draft.set('startCheck', {kind: 'halted'});
    draft.addEffect({kind: 'halt', reason});
    return;
  }
  const check = draft.read('startCheck');
  if (check.kind === 'halted') {
    return;
  }
  const {storage, seed} = draft.view.board.identity;
  const isListed = reply.members?.some(member => member.storage === storage);
  if (!isInGroup(draft) && reply.members !== null && isListed === true) {
    storeFirstMembers(draft, reply.members);
  }
  addContacts(draft, reply.members?.map(({node}) => node) ?? []);
  const answer: HelloAnswer = {
    storage: from.storage,
    inGroup: reply.members !== null,
    leaderless: reply.leaderless && reply.start === seed,
    voters: listVoterNodes(reply.members ?? []),
  };
  draft.set('startCheck', {
    ...check,
    answers: new Map([...check.answers, [from.node, answer]]),
  });
  advanceStart(draft, now);
}

/** Finds the reason why this data folder must not be used, if any. */
function findHaltReason(
  draft: ConsensusDraft,
  from: Sender,
  reply: MemberHelloReply,
): HaltReason | undefined {
  const {witness, members} = reply;
  const {term} = draft.ballot;
  const {lastIndex} = draft.status;
  const isOld =
    witness !== null &&
    (witness.term > term ||
      (witness.term === term && witness.index > lastIndex));
  if (isOld) {
    return {kind: 'oldFolder', peer: from.node, witness};
  }
  const {storage} = draft.view.board.identity;
  // A late reply must not halt a member: the folder may have been admitted
  // since, and the leader of an earlier term may not know of it.
  const isReplaced =
    isInGroup(draft) &&
    reply.formed &&
    reply.leading &&
    reply.term >= term &&
    members?.every(member => member.storage !== storage) === true;
  return isReplaced ? {kind: 'folderReplaced', peer: from.node} : undefined;
}

/**
 * Ends the start check once enough other nodes have answered. A node outside
 * a group that may bootstrap one does so once all have answered that they
 * belong to none.
 */
function updateStartCheck(draft: ConsensusDraft, now: TurnTime): void {
  const check = draft.read('startCheck');
  if (check.kind !== 'checking') {
    return;
  }
  const {answers} = check;
  const targets = listHelloTargets(draft);
  const isComplete = targets.every(node => answers.has(node));
  if (!isInGroup(draft)) {
    const isNew = [...answers.values()].every(answer => !answer.inGroup);
    if (isComplete && isNew && canBootstrap(draft)) {
      storeFirstMembers(draft, listBootstrapMembers(draft, answers));
      draft.set('startCheck', {kind: 'ready', answers});
    }
    return;
  }
  // A silent member must not block the others, so after a timeout the answers
  // of a quorum are enough.
  const isTimedOut = now.monotonic - check.since >= START_CHECK_TIMEOUT_MS;
  const answered = targets.filter(node => answers.has(node)).length;
  if (isComplete || (isTimedOut && answered >= computeQuorum(draft) - 1)) {
    draft.set('startCheck', {kind: 'ready', answers});
  }
}

function canBootstrap(draft: ConsensusDraft): boolean {
  const {node, bootstrapMembers, admission} = draft.view.board.identity;
  const mayBootstrap = admission.kind === 'listed' || admission.mayBootstrap;
  return mayBootstrap && bootstrapMembers.includes(node);
}

function startCheck(
  draft: ConsensusDraft,
  answers: Answers,
  now: TurnTime,
): void {
  const since = now.monotonic;
  draft.set('startCheck', {kind: 'checking', since, answers});
}

function listBootstrapMembers(
  draft: ConsensusDraft,
  answers: Answers,
): readonly Member[] {
  const {node: self, storage, bootstrapMembers} = draft.view.board.identity;
  return bootstrapMembers.map(node => ({
    node,
    storage: node === self ? storage : answers.get(node)!.storage,
    role: 'voter',
  }));
}

/** Stores the group's members as a snapshot at index 0, before any entry. */
function storeFirstMembers(
  draft: ConsensusDraft,
  members: readonly Member[],
): void {
  draft.set('memberships', [{index: 0, members}]);
  draft.setSnapshot({index: 0, term: 0, members, items: []});
  draft.disk.compact();
}
