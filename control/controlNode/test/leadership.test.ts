import t from 'tap';

import {ENDED_LEASE} from '@gentianshunt/clock';
import type {Lease} from '@gentianshunt/clock';

import {createTestDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';

const ONE_SECOND_STEPS = 100;
const LEASE_MS = 640;
const HEARTBEAT_MS = 350;
const SUSPENDED_MS = 10_000;
const ELECTION_LIMIT_STEPS = 2 * ONE_SECOND_STEPS;

function createLedDeployment(): TestDeployment {
  const deployment = createTestDeployment(3);
  deployment.run(5 * ONE_SECOND_STEPS);
  return deployment;
}

/** Runs steps in which one member can neither send nor receive. */
function runWithout(
  deployment: TestDeployment,
  isolated: string,
  steps: number,
): void {
  for (let step = 0; step < steps; step += 1) {
    const dropped = deployment.inFlight.filter(
      ({from, to}) => from === isolated || to === isolated,
    );
    dropped.forEach(message =>
      deployment.inFlight.splice(deployment.inFlight.indexOf(message), 1),
    );
    deployment.run(1);
  }
}

t.test('a leader holds a lease while a quorum answers', t => {
  const deployment = createLedDeployment();
  const {leadership} = deployment.findLeader()!.loop!.view;
  t.equal(leadership.kind, 'leading');
  if (leadership.kind === 'leading') {
    t.equal(
      leadership.lease.until,
      leadership.confirmedSince + LEASE_MS,
      'the lease starts when the request was sent',
    );
  }
  t.end();
});

t.test('a reply from before a suspension does not renew the lease', t => {
  const deployment = createLedDeployment();
  const leader = deployment.findLeader()!;
  const readLease = (): Lease => {
    const {leadership} = leader.loop!.view;
    return leadership.kind === 'leading' ? leadership.lease : ENDED_LEASE;
  };
  const before = readLease();
  for (let waitedMs = 0; waitedMs < HEARTBEAT_MS; waitedMs += 10) {
    deployment.advance(10);
    if (deployment.inFlight.length > 0) {
      break;
    }
  }
  t.not(deployment.inFlight.length, 0, 'a heartbeat was sent');
  deployment.suspend(SUSPENDED_MS);
  deployment.run(2);
  t.equal(readLease(), before, 'its reply is no evidence');
  deployment.run(ONE_SECOND_STEPS);
  t.ok(readLease().until > before.until, 'later replies are');
  t.end();
});

t.test('an isolated leader loses its lease before another is elected', t => {
  const deployment = createLedDeployment();
  const former = deployment.findLeader()!;
  const others = deployment.members.filter(member => member !== former);
  let elapsedMs = 0;
  let electedAtMs: number | undefined;
  const {leadership} = former.loop!.view;
  const until =
    leadership.kind === 'leading'
      ? leadership.lease.until - leadership.confirmedSince
      : 0;
  for (let step = 0; step < ELECTION_LIMIT_STEPS; step += 1) {
    runWithout(deployment, former.node, 1);
    elapsedMs += 10;
    const isElected = others.some(
      member => member.loop!.view.role.kind === 'leader',
    );
    electedAtMs ??= isElected ? elapsedMs : undefined;
  }
  t.ok(electedAtMs !== undefined && electedAtMs > until - HEARTBEAT_MS);
  t.equal(
    former.loop!.view.leadership.kind,
    'following',
    'the isolated leader stepped down',
  );
  const {term} = former.loop!.view.ballot;
  runWithout(deployment, former.node, 5 * ONE_SECOND_STEPS);
  t.equal(
    former.loop!.view.ballot.term,
    term,
    'the pre-vote does not raise the term',
  );
  t.end();
});

t.test('a member with recent leader contact grants no vote', t => {
  const deployment = createLedDeployment();
  const leader = deployment.findLeader()!;
  const [voter, candidate] = deployment.members.filter(
    member => member !== leader,
  );
  const {term} = voter!.loop!.view.ballot;
  deployment.deliver({
    from: candidate!.node,
    to: voter!.node,
    sender: candidate!.folder.storage,
    receiver: null,
    message: {
      kind: 'voteRequest',
      preVote: false,
      term: term + 1,
      lastIndex: 1_000,
      lastTerm: term,
    },
  });
  t.equal(voter!.loop!.view.ballot.term, term);
  t.end();
});

t.test('a lost append request is resent', t => {
  const deployment = createLedDeployment();
  const leader = deployment.findLeader()!;
  deployment.command(leader, 1);
  deployment.inFlight.splice(0);
  deployment.run(ONE_SECOND_STEPS);
  const last = leader.loop!.view.logStatus.lastIndex;
  for (const member of deployment.members) {
    t.equal(member.loop!.view.logStatus.commitIndex, last);
  }
  t.end();
});

t.test('entries are acknowledged only after they are synced', t => {
  const deployment = createLedDeployment();
  const leader = deployment.findLeader()!;
  deployment.command(leader, 1);
  deployment.inFlight.splice(0).forEach(deployment.deliver);
  const replies = deployment.inFlight.filter(
    ({message}) => message.kind === 'appendReply',
  );
  t.same(replies, [], 'followers have not synced');
  deployment.members.forEach(member => member.sync());
  t.equal(
    deployment.inFlight.filter(({message}) => message.kind === 'appendReply')
      .length,
    2,
  );
  t.end();
});
