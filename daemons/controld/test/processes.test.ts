import {isDeepStrictEqual} from 'node:util';

import t from 'tap';
import type {Test} from 'tap';

import {createTestProcesses} from './processFixture.js';
import type {TestProcesses} from './processFixture.js';

const COMMANDS_BEFORE = 40;
const COMMANDS_DURING = 80;
const COMMANDS_AFTER = 120;

/** Checks that every command was applied once and keeps its first answer. */
async function checkAnswers(t: Test, processes: TestProcesses): Promise<void> {
  const versions = new Set<number>();
  const changed: number[] = [];
  for (const [number, answer] of processes.answers) {
    if (answer.kind === 'applied' && answer.result.kind === 'accepted') {
      versions.add(answer.version);
    }
    const again = await processes.resend(number);
    if (!isDeepStrictEqual(again, answer)) {
      changed.push(number);
    }
  }
  t.same(changed, [], 'a resent command gets its first answer');
  t.equal(versions.size, COMMANDS_AFTER, 'each command has its own version');
}

t.test('no acknowledged command is lost when the leader is killed', async t => {
  const processes = await createTestProcesses(3);
  t.teardown(processes.stop);
  await processes.sendUntil(COMMANDS_BEFORE);
  const leader = processes.findLeader();
  const during = processes.sendUntil(COMMANDS_DURING);
  await leader.process.stop('SIGKILL');
  await during;
  await processes.deployment.restartControl(leader.node);
  await processes.sendUntil(COMMANDS_AFTER);
  await checkAnswers(t, processes);
});

t.test(
  'a leader that was suspended decides nothing when it resumes',
  async t => {
    const processes = await createTestProcesses(3);
    t.teardown(processes.stop);
    await processes.sendUntil(COMMANDS_BEFORE);
    const leader = processes.findLeader();
    const during = processes.sendUntil(COMMANDS_DURING);
    leader.process.child.kill('SIGSTOP');
    await during;
    t.not(processes.findLeader().node, leader.node, 'another member leads');
    const after = processes.sendUntil(COMMANDS_AFTER);
    leader.process.child.kill('SIGCONT');
    await after;
    await checkAnswers(t, processes);
  },
);
