import {toIdentifier} from '@gentianshunt/identifiers';
import type {ConsensusMessage, StorageId} from '@gentianshunt/messages';
import t from 'tap';

import {createTestDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';
import type {TestMember, TestMessage} from './memberFixture.js';

const START_STEPS = 500;
const SILENCE_MS = 2_000;

function createLedDeployment(): TestDeployment {
  const deployment = createTestDeployment(3);
  deployment.run(START_STEPS);
  return deployment;
}

function createMessage(
  from: TestMember,
  to: TestMember,
  message: ConsensusMessage,
): TestMessage {
  return {
    from: from.node,
    to: to.node,
    sender: from.folder.storage,
    receiver: null,
    message,
  };
}

/** A leader whose last entry is not synced on any disk. */
function createUnsyncedEntry() {
  const deployment = createLedDeployment();
  const leader = deployment.findLeader()!;
  const [follower] = deployment.members.filter(member => member !== leader);
  deployment.command(leader, 1);
  const {term} = leader.loop!.view.ballot;
  const {lastIndex, commitIndex} = leader.loop!.view.logStatus;
  const reply: ConsensusMessage = {
    kind: 'appendReply',
    term,
    success: true,
    matchIndex: lastIndex,
    sentAt: 0,
  };
  return {
    deployment,
    leader,
    commitIndex,
    lastIndex,
    acknowledgement: createMessage(follower!, leader, reply),
  };
}

t.test('a leader counts its own entry only once it is synced', t => {
  const {deployment, leader, ...pending} = createUnsyncedEntry();
  deployment.deliver(pending.acknowledgement);
  t.equal(leader.loop!.view.logStatus.commitIndex, pending.commitIndex);
  leader.sync();
  t.equal(leader.loop!.view.logStatus.commitIndex, pending.lastIndex);
  t.end();
});

t.test('an acknowledgement from an unknown data folder is ignored', t => {
  const {deployment, leader, ...pending} = createUnsyncedEntry();
  leader.sync();
  const sender = toIdentifier<StorageId>('another-folder');
  deployment.deliver({...pending.acknowledgement, sender});
  t.equal(leader.loop!.view.logStatus.commitIndex, pending.commitIndex);
  t.end();
});

t.test('a vote is sent only once it is synced', t => {
  const deployment = createLedDeployment();
  const [voter, candidate] = deployment.members;
  const {ballot, logStatus} = voter!.loop!.view;
  deployment.members.forEach(member => member !== voter && member.crash());
  deployment.advance(SILENCE_MS);
  voter!.sync();
  deployment.inFlight.splice(0);
  const request: ConsensusMessage = {
    kind: 'voteRequest',
    preVote: false,
    term: ballot.term + 5,
    lastIndex: logStatus.lastIndex,
    lastTerm: logStatus.lastTerm,
  };
  deployment.deliver(createMessage(candidate!, voter!, request));
  t.same(deployment.inFlight, [], 'no vote is sent yet');
  voter!.sync();
  t.match(deployment.inFlight, [{message: {kind: 'voteReply', granted: true}}]);
  t.equal(voter!.folder.stored.ballot.votedFor, candidate!.node);
  voter!.crash();
  voter!.start();
  t.equal(voter!.loop!.view.ballot.votedFor, candidate!.node);
  t.end();
});

t.test('a member votes at most once in a term', t => {
  const deployment = createLedDeployment();
  const [voter, first, second] = deployment.members;
  const {ballot, logStatus} = voter!.loop!.view;
  deployment.members.forEach(member => member !== voter && member.crash());
  deployment.advance(SILENCE_MS);
  const request: ConsensusMessage = {
    kind: 'voteRequest',
    preVote: false,
    term: ballot.term + 5,
    lastIndex: logStatus.lastIndex + 1,
    lastTerm: logStatus.lastTerm,
  };
  deployment.deliver(createMessage(first!, voter!, request));
  deployment.deliver(createMessage(second!, voter!, request));
  voter!.sync();
  const replies = deployment.inFlight.flatMap(({to, message}) =>
    message.kind === 'voteReply' && !message.preVote
      ? [{to, granted: message.granted}]
      : [],
  );
  t.same(replies, [
    {to: first!.node, granted: true},
    {to: second!.node, granted: false},
  ]);
  t.end();
});

t.test('a request from the leader of an earlier term is rejected', t => {
  const deployment = createLedDeployment();
  const leader = deployment.findLeader()!;
  const [follower] = deployment.members.filter(member => member !== leader);
  const {ballot, logStatus} = follower!.loop!.view;
  deployment.inFlight.splice(0);
  const stale: ConsensusMessage = {
    kind: 'appendRequest',
    term: ballot.term - 1,
    previousIndex: logStatus.lastIndex,
    previousTerm: logStatus.lastTerm,
    entries: [],
    commitIndex: logStatus.lastIndex,
    syncedIndex: logStatus.lastIndex,
    sentAt: 0,
  };
  deployment.deliver(createMessage(leader, follower!, stale));
  t.match(deployment.inFlight, [
    {message: {kind: 'appendReply', success: false, term: ballot.term}},
  ]);
  t.end();
});

t.test('entries of an earlier term commit with one of the current', t => {
  const deployment = createLedDeployment();
  const former = deployment.findLeader()!;
  const [next, other] = deployment.members.filter(each => each !== former);
  deployment.command(former, 1);
  const appends = deployment.inFlight.splice(0);
  appends.filter(({to}) => to === next!.node).forEach(deployment.deliver);
  next!.sync();
  former.crash();
  deployment.inFlight.splice(0);
  const oldIndex = next!.loop!.view.logStatus.lastIndex;
  const {commitIndex} = next!.loop!.view.logStatus;
  for (let step = 0; step < START_STEPS; step += 1) {
    if (next!.loop!.view.role.kind === 'leader') {
      break;
    }
    deployment.run(1);
  }
  next!.sync();
  const {ballot} = next!.loop!.view;
  const reply: ConsensusMessage = {
    kind: 'appendReply',
    term: ballot.term,
    success: true,
    matchIndex: oldIndex,
    sentAt: 0,
  };
  deployment.deliver(createMessage(other!, next!, reply));
  t.equal(next!.loop!.view.logStatus.commitIndex, commitIndex);
  deployment.deliver(
    createMessage(other!, next!, {...reply, matchIndex: oldIndex + 1}),
  );
  t.equal(next!.loop!.view.logStatus.commitIndex, oldIndex + 1);
  t.end();
});
