import {assertNever} from '@gentianshunt/errors';
import fc from 'fast-check';
import t from 'tap';

import {createOpenDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';
import {createInvariantChecker, listLostCommands} from './invariantFixture.js';
import type {InvariantChecker} from './invariantFixture.js';
import type {TestMember} from './memberFixture.js';

/** How a member is lost. */
type LossKind = 'emptied' | 'killed' | 'cut' | 'replaced' | 'full';

/** The loss of one member, which is over before the next one begins. */
interface Loss {
  readonly kind: LossKind;
  /** Whether the leader is lost, or a member by its position. */
  readonly isLeader: boolean;
  readonly member: number;
  readonly downSteps: number;
}

const STEP_MS = 10;
const ONE_SECOND_STEPS = 1_000 / STEP_MS;
/** After this time a member that is back no longer counts as lost. */
const CATCH_UP_STEPS = 4 * ONE_SECOND_STEPS;
/** The first loss comes long after the group was formed. */
const START_STEPS = 10 * ONE_SECOND_STEPS;
const MARGIN_STEPS = 15;
/** A member whose disk failed is started again after this time. */
const DISK_RETRY_STEPS = ONE_SECOND_STEPS;
const COMMAND_INTERVAL_STEPS = 25;
const RECOVERY_STEPS = 12 * ONE_SECOND_STEPS;
const SEEDS = [1, 2] as const;
const RUNS_PER_SEED = 4;
const MAX_LOSSES = 10;

const losses: fc.Arbitrary<readonly Loss[]> = fc.array(
  fc.record({
    kind: fc.constantFrom<LossKind>(
      'emptied',
      'emptied',
      'killed',
      'cut',
      'replaced',
    ),
    isLeader: fc.boolean(),
    member: fc.nat({max: 6}),
    downSteps: fc.integer({min: 20, max: 4 * ONE_SECOND_STEPS}),
  }),
  {minLength: 2, maxLength: MAX_LOSSES},
);

/** Disks without room, one after the other, never two at once. */
const fullDisks: fc.Arbitrary<readonly Loss[]> = fc.array(
  fc.record({
    kind: fc.constant('full' as const),
    isLeader: fc.boolean(),
    member: fc.nat({max: 6}),
    downSteps: fc.integer({min: 50, max: 6 * ONE_SECOND_STEPS}),
  }),
  {minLength: 3, maxLength: MAX_LOSSES},
);
const NO_GAP_STEPS = 1;

interface Run {
  readonly deployment: TestDeployment;
  readonly checker: InvariantChecker;
  commands: number;
  joined: number;
  /** For how long members whose disk is full or was full have been down. */
  readonly failedSteps: Map<TestMember, number>;
}

/** Starts bootstrap members and lets further nodes join. */
function createRun(count: number): Run {
  const bootstrapped = Math.min(3, count);
  const deployment = createOpenDeployment(bootstrapped);
  for (let index = bootstrapped; index < count; index += 1) {
    deployment.join(`joined-${index}`);
  }
  const checker = createInvariantChecker(deployment);
  const run: Run = {
    deployment,
    checker,
    commands: 0,
    joined: count,
    failedSteps: new Map(),
  };
  advance(run, START_STEPS);
  return run;
}

/** Runs the members, with a command now and then. */
function advance(run: Run, steps: number): void {
  const {deployment, checker} = run;
  for (let step = 0; step < steps; step += 1) {
    if (step % COMMAND_INTERVAL_STEPS === 0) {
      sendCommand(run);
    }
    deployment.run(1);
    deployment.members.forEach(member => restartIfHalted(run, member));
    restartFailed(run);
    checker.check();
  }
}

function sendCommand(run: Run): void {
  const leader = run.deployment.findLeader();
  if (leader !== undefined) {
    run.commands += 1;
    run.deployment.command(leader, run.commands);
  }
}

/** A daemon whose folder is refused sets it aside and starts with a new one. */
function restartIfHalted({deployment}: Run, member: TestMember): void {
  if (member.haltReason !== undefined) {
    member.replaceFolder();
    startMember(deployment, member);
  }
}

/** Starts a member, which learns of the others as an entry tells its daemon. */
function startMember(deployment: TestDeployment, member: TestMember): void {
  member.start();
  learnMembers(deployment, member);
}

function learnMembers(deployment: TestDeployment, member: TestMember): void {
  const members = deployment.members.map(({node}) => node);
  member.loop!.post({kind: 'membersLearnt', members});
}

/** Starts members again some time after a write to their disk failed. */
function restartFailed(run: Run): void {
  const {deployment, failedSteps} = run;
  for (const member of deployment.members) {
    const failedFor = failedSteps.get(member);
    if (failedFor === undefined || member.loop !== undefined) {
      continue;
    }
    if (failedFor >= DISK_RETRY_STEPS) {
      failedSteps.set(member, 0);
      startMember(deployment, member);
    } else {
      failedSteps.set(member, failedFor + 1);
    }
  }
}

function lose(run: Run, member: TestMember, loss: Loss): void {
  const {deployment} = run;
  switch (loss.kind) {
    case 'emptied':
      member.replaceFolder();
      advance(run, loss.downSteps);
      startMember(deployment, member);
      return;
    case 'killed':
      member.crash();
      advance(run, loss.downSteps);
      startMember(deployment, member);
      return;
    case 'full':
      member.setDiskFull(true);
      run.failedSteps.set(member, 0);
      advance(run, loss.downSteps);
      member.setDiskFull(false);
      return;
    case 'cut':
      deployment.setPartitioned(member, true);
      advance(run, loss.downSteps);
      deployment.setPartitioned(member, false);
      return;
    case 'replaced':
      deployment.remove(member);
      advance(run, loss.downSteps);
      learnMembers(deployment, deployment.join(`joined-${run.joined}`));
      run.joined += 1;
      return;
    default:
      assertNever(loss.kind, 'lose');
  }
}

function pickMember({deployment}: Run, loss: Loss): TestMember {
  const {members} = deployment;
  const leader = loss.isLeader ? deployment.findLeader() : undefined;
  return leader ?? members[loss.member % members.length]!;
}

/** Throws unless the group answers and holds all that it acknowledged. */
function checkServing(run: Run): void {
  const {deployment, checker} = run;
  const leader = deployment.findLeader();
  if (leader === undefined) {
    throw new Error('no member leads after all are back');
  }
  run.commands += 1;
  deployment.command(leader, run.commands);
  deployment.run(MARGIN_STEPS);
  checker.check();
  if (!checker.acknowledged.has(run.commands)) {
    throw new Error('no command is acknowledged after all are back');
  }
  const lost = listLostCommands(leader, checker.acknowledged);
  if (lost.length > 0) {
    throw new Error(`acknowledged commands lost: ${lost.join(', ')}`);
  }
}

function runLosses(
  count: number,
  list: readonly Loss[],
  gapSteps = CATCH_UP_STEPS + MARGIN_STEPS,
): void {
  const run = createRun(count);
  for (const loss of list) {
    lose(run, pickMember(run, loss), loss);
    advance(run, gapSteps);
  }
  advance(run, RECOVERY_STEPS);
  checkServing(run);
}

const LEADER_EMPTIED: Loss = {
  kind: 'emptied',
  isLeader: true,
  member: 0,
  downSteps: 30,
};
const LEADER_REPLACED: Loss = {...LEADER_EMPTIED, kind: 'replaced'};

for (const count of [3, 4, 5, 7]) {
  // Guards against a group that ends once two disks are lost in turn.
  t.test(
    `${count} members: two leaders' disks lost in turn end no group`,
    t => {
      runLosses(count, [LEADER_EMPTIED, LEADER_EMPTIED]);
      t.end();
    },
  );

  t.test(`${count} members: two leaders replaced in turn end no group`, t => {
    runLosses(count, [LEADER_REPLACED, LEADER_REPLACED]);
    t.end();
  });

  // Guards against changes that stay refused after the last disk has room.
  t.test(`${count} members: disks full in turn end no group`, t => {
    fc.assert(
      fc.property(fullDisks, list => runLosses(count, list, NO_GAP_STEPS)),
      {seed: SEEDS[0], numRuns: RUNS_PER_SEED, endOnFailure: true},
    );
    t.end();
  });

  for (const seed of SEEDS) {
    t.test(`${count} members: losses in turn end no group, seed ${seed}`, t => {
      fc.assert(
        fc.property(losses, list => runLosses(count, list)),
        {seed, numRuns: RUNS_PER_SEED, endOnFailure: true},
      );
      t.end();
    });
  }
}
