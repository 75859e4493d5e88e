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
  isFormed,
  isMember,
  listMembers,
  listPeers,
  noteMemberships,
  readQuorum,
} from './members.js';
import type {MemberHello, MemberHelloReply, Sender} from './messageTypes.js';
import {
  armElection,
  armTimer,
  HELLO_INTERVAL_MS,
  resetElection,
  START_CHECK_MS,
} from './timing.js';

type Started = Extract<ControlObservation, {readonly kind: 'started'}>;
type Answers = ReadonlyMap<NodeId, HelloAnswer>;

/** Takes up what the disk held and asks the others about this folder. */
export function handleStarted(
  draft: ConsensusDraft,
  started: Started,
  now: TurnTime,
): void {
  const {ballot, snapshot, base, entries} = started;
  draft.set('ballot', ballot);
  draft.disk.noteStored(ballot);
  draft.log.restore({base, entries, commitIndex: snapshot?.index ?? 0});
  if (snapshot !== null) {
    const {index, members} = snapshot;
    draft.set('snapshot', snapshot);
    draft.set('memberships', [{index, members}]);
  }
  const since = snapshot?.index ?? 0;
  noteMemberships(
    draft,
    entries.filter(entry => entry.index > since),
  );
  resetElection(draft, now);
  armElection(draft, now);
  setAnswers(draft, new Map(), now);
  continueCheck(draft, now);
  sendHellos(draft);
}

/** Asks again while the folder is not known to be sound. */
export function handleHelloTimer(draft: ConsensusDraft, now: TurnTime): void {
  continueCheck(draft, now);
  sendHellos(draft);
}

function sendHellos(draft: ConsensusDraft): void {
  if (draft.read('startCheck').kind !== 'checking') {
    return;
  }
  const formed = isFormed(draft);
  for (const node of listOthers(draft)) {
    draft.send({node, storage: null}, {kind: 'memberHello', formed});
  }
  armTimer(draft, 'hello', HELLO_INTERVAL_MS);
}

/** Lists the nodes that are asked about this folder. */
function listOthers(draft: ConsensusDraft): readonly NodeId[] {
  const {node: self} = draft.view.board.identity;
  return isFormed(draft)
    ? listPeers(draft).map(member => member.node)
    : draft.read('contacts').filter(node => node !== self);
}

/** Notes nodes that may know a group; founders are asked in any case. */
export function noteContacts(
  draft: ConsensusDraft,
  nodes: readonly NodeId[],
): void {
  const known = draft.read('contacts');
  const added = nodes.filter(node => !known.includes(node));
  if (added.length > 0) {
    draft.set('contacts', [...known, ...added]);
  }
}

/** Tells a starting member what is known here; may note it for admission. */
export function handleHello(
  draft: ConsensusDraft,
  from: Sender,
  hello: MemberHello,
  now: TurnTime,
): void {
  const {node, storage} = from;
  const leading = isLeadingMembers(draft, now);
  replyHello(draft, from, now);
  const {admission, members} = draft.view.board.identity;
  const isAdmissible = admission.kind === 'open' || members.includes(node);
  const isNew = !hello.formed && !isMember(draft, node, storage);
  if (leading && isAdmissible && isNew) {
    draft.applicants.put(node, storage);
  }
}

/** Tells another member what is known here of it and of the group. */
export function replyHello(
  draft: ConsensusDraft,
  to: Sender,
  now: TurnTime,
): void {
  const {node, storage} = to;
  const witness = draft.witnesses.get(node);
  draft.sendAfterSync(
    {node, storage},
    {
      kind: 'memberHelloReply',
      term: draft.ballot.term,
      members: isFormed(draft) ? listMembers(draft) : null,
      leading: isLeadingMembers(draft, now),
      witness:
        witness?.storage === storage
          ? {term: witness.term, index: witness.index}
          : null,
    },
  );
}

/** Whether this member leads beyond doubt and its members are committed. */
function isLeadingMembers(draft: ConsensusDraft, now: TurnTime): boolean {
  const leadership = draft.read('leadership');
  const memberships = draft.read('memberships');
  const {commitIndex} = draft.status;
  return (
    leadership.kind === 'leading' &&
    now.monotonic < leadership.confirmedUntil &&
    commitIndex >= leadership.readIndex &&
    memberships.every(membership => membership.index <= commitIndex)
  );
}

/** Takes an answer to the hello of this member. */
export function handleHelloReply(
  draft: ConsensusDraft,
  from: Sender,
  reply: MemberHelloReply,
  now: TurnTime,
): void {
  const reason = findHaltReason(draft, from, reply);
  if (reason !== undefined) {
    draft.set('startCheck', {kind: 'halted'});
    draft.order({kind: 'halt', reason});
    return;
  }
  const check = draft.read('startCheck');
  if (check.kind !== 'checking') {
    return;
  }
  const {storage} = draft.view.board.identity;
  const isListed = reply.members?.some(member => member.storage === storage);
  if (!isFormed(draft) && reply.members !== null && isListed === true) {
    form(draft, reply.members);
  }
  noteContacts(draft, reply.members?.map(({node}) => node) ?? []);
  const answer = {storage: from.storage, formed: reply.members !== null};
  draft.set('startCheck', {
    ...check,
    answers: new Map([...check.answers, [from.node, answer]]),
  });
  continueCheck(draft, now);
}

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
  // A late word of an earlier leader must not cost a folder its place.
  const isReplaced =
    isFormed(draft) &&
    reply.leading &&
    reply.term >= term &&
    members?.every(member => member.storage !== storage) === true;
  return isReplaced ? {kind: 'folderReplaced', peer: from.node} : undefined;
}

/** Ends the check once enough of the others have answered. */
function continueCheck(draft: ConsensusDraft, now: TurnTime): void {
  const check = draft.read('startCheck');
  if (check.kind !== 'checking') {
    return;
  }
  const {answers} = check;
  const others = listOthers(draft);
  const isComplete = others.every(node => answers.has(node));
  if (!isFormed(draft)) {
    const isNew = [...answers.values()].every(answer => !answer.formed);
    if (isComplete && isNew && isFounder(draft)) {
      form(draft, listFirstMembers(draft, answers));
      draft.set('startCheck', {kind: 'ready'});
    }
    return;
  }
  // A member that stays silent must not keep the others from going on.
  const isOverdue = now.monotonic - check.since >= START_CHECK_MS;
  const answered = others.filter(node => answers.has(node)).length;
  if (isComplete || (isOverdue && answered >= readQuorum(draft) - 1)) {
    draft.set('startCheck', {kind: 'ready'});
  }
}

function isFounder(draft: ConsensusDraft): boolean {
  const {node, members, admission} = draft.view.board.identity;
  const mayFound = admission.kind === 'listed' || admission.mayFound;
  return mayFound && members.includes(node);
}

function setAnswers(
  draft: ConsensusDraft,
  answers: Answers,
  now: TurnTime,
): void {
  const since = now.monotonic;
  draft.set('startCheck', {kind: 'checking', since, answers});
}

function listFirstMembers(
  draft: ConsensusDraft,
  answers: Answers,
): readonly Member[] {
  const {node: self, storage, members} = draft.view.board.identity;
  return members.map(node => ({
    node,
    storage: node === self ? storage : answers.get(node)!.storage,
    role: 'voter',
  }));
}

/** Stores the first members; they stand before the first entry. */
function form(draft: ConsensusDraft, members: readonly Member[]): void {
  draft.set('memberships', [{index: 0, members}]);
  draft.set('snapshot', {index: 0, term: 0, members, items: []});
  draft.disk.compact();
}
