import {assertNever} from '@gentianshunt/errors';
import fc from 'fast-check';
import t from 'tap';

import {createTestDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';
import type {TestMember} from './memberFixture.js';
import {createInvariantChecker, listLostCommands} from './invariantFixture.js';

type Action =
  | {readonly kind: 'deliver'; readonly message: number}
  | {readonly kind: 'drop'; readonly message: number}
  | {readonly kind: 'duplicate'; readonly message: number}
  | {readonly kind: 'sync'; readonly member: number}
  | {readonly kind: 'advance'; readonly durationMs: number}
  | {readonly kind: 'settle'; readonly steps: number}
  /** Runs the others while one member neither sends, receives nor syncs. */
  | {
      readonly kind: 'isolate';
      readonly member: number;
      readonly steps: number;
    }
  /** Delivers all messages and syncs all members but one with a slow disk. */
  | {readonly kind: 'exchange'; readonly slow: number}
  | {readonly kind: 'crash'; readonly member: number}
  | {readonly kind: 'restart'; readonly member: number}
  /** Replaces the data folder of a member by an empty one. */
  | {readonly kind: 'empty'; readonly member: number}
  | {readonly kind: 'command'; readonly member: number};

const SEEDS = [1, 2, 3] as const;
const RUNS_PER_SEED = 40;
const MAX_ACTIONS = 150;
const RECOVERY_STEPS = 600;
const STEP_MS = 10;

const member = fc.nat({max: 4});
const message = fc.nat({max: 40});
const actions: fc.Arbitrary<Action> = fc.oneof(
  {weight: 12, arbitrary: fc.record({kind: fc.constant('deliver'), message})},
  {weight: 3, arbitrary: fc.record({kind: fc.constant('drop'), message})},
  {weight: 2, arbitrary: fc.record({kind: fc.constant('duplicate'), message})},
  {weight: 4, arbitrary: fc.record({kind: fc.constant('sync'), member})},
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('advance'),
      durationMs: fc.integer({min: 1, max: 600}),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('settle'),
      steps: fc.integer({min: 1, max: 60}),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('isolate'),
      member,
      steps: fc.integer({min: 1, max: 300}),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({kind: fc.constant('exchange'), slow: member}),
  },
  {weight: 1, arbitrary: fc.record({kind: fc.constant('crash'), member})},
  {weight: 2, arbitrary: fc.record({kind: fc.constant('restart'), member})},
  {weight: 1, arbitrary: fc.record({kind: fc.constant('empty'), member})},
  {weight: 8, arbitrary: fc.record({kind: fc.constant('command'), member})},
) as fc.Arbitrary<Action>;

interface Run {
  readonly deployment: TestDeployment;
  commands: number;
  /** Folders that may still be lost while a quorum of them remains. */
  allowedFolderLosses: number;
}

function perform(run: Run, action: Action): void {
  const {deployment} = run;
  const {inFlight, members} = deployment;
  const pick = (index: number) => members[index % members.length]!;
  switch (action.kind) {
    case 'deliver':
      inFlight
        .splice(action.message % Math.max(1, inFlight.length), 1)
        .forEach(deployment.deliver);
      return;
    case 'drop':
      inFlight.splice(action.message % Math.max(1, inFlight.length), 1);
      return;
    case 'duplicate':
      inFlight.push(
        ...inFlight
          .slice(action.message % Math.max(1, inFlight.length))
          .slice(0, 1),
      );
      return;
    case 'sync':
      pick(action.member).sync();
      return;
    case 'advance':
      deployment.advance(action.durationMs);
      return;
    case 'settle':
      deployment.run(action.steps);
      return;
    case 'isolate':
      isolate(deployment, pick(action.member), action.steps);
      return;
    case 'exchange':
      inFlight.splice(0).forEach(deployment.deliver);
      members.forEach((each, index) => {
        if (index !== action.slow) {
          each.sync();
        }
      });
      return;
    case 'crash':
      pick(action.member).crash();
      return;
    case 'restart':
      pick(action.member).crash();
      pick(action.member).start();
      return;
    case 'empty':
      if (run.allowedFolderLosses > 0) {
        run.allowedFolderLosses -= 1;
        pick(action.member).replaceFolder();
        pick(action.member).start();
      }
      return;
    case 'command': {
      run.commands += 1;
      const leader = deployment.findLeader() ?? pick(action.member);
      deployment.command(leader, run.commands);
      return;
    }
    default:
      assertNever(action, 'perform');
  }
}

function isolate(
  deployment: TestDeployment,
  isolated: TestMember,
  steps: number,
): void {
  const others = deployment.members.filter(each => each !== isolated);
  for (let step = 0; step < steps; step += 1) {
    others.forEach(each => each.sync());
    deployment.inFlight
      .splice(0)
      .filter(({from, to}) => from !== isolated.node && to !== isolated.node)
      .forEach(deployment.deliver);
    deployment.advance(STEP_MS);
  }
}

function runActions(count: number, list: readonly Action[]): void {
  const deployment = createTestDeployment(count);
  const checker = createInvariantChecker(deployment);
  const run: Run = {
    deployment,
    commands: 0,
    allowedFolderLosses: Math.floor((count - 1) / 2),
  };
  // All listed members must answer before the group is bootstrapped.
  deployment.run(200);
  for (const action of list) {
    perform(run, action);
    checker.check();
  }
  for (const each of deployment.members) {
    if (each.loop === undefined) {
      each.start();
    }
  }
  for (let step = 0; step < RECOVERY_STEPS; step += 1) {
    deployment.run(1);
    checker.check();
  }
  const leader = deployment.findLeader();
  if (leader === undefined) {
    throw new Error('no leader was elected after the faults ended');
  }
  deployment.command(leader, run.commands + 1);
  deployment.run(10);
  checker.check();
  if (!checker.acknowledged.has(run.commands + 1)) {
    throw new Error('no command was answered after the faults ended');
  }
  const lost = listLostCommands(leader, checker.acknowledged);
  if (lost.length > 0) {
    throw new Error(`acknowledged commands lost: ${lost.join(', ')}`);
  }
}

for (const count of [3, 5]) {
  for (const seed of SEEDS) {
    t.test(`${count} members keep the log under faults, seed ${seed}`, t => {
      fc.assert(
        fc.property(
          fc.array(actions, {minLength: 40, maxLength: MAX_ACTIONS}),
          list => runActions(count, list),
        ),
        {seed, numRuns: RUNS_PER_SEED, endOnFailure: true},
      );
      t.pass('no invariant was violated');
      t.end();
    });
  }
}
