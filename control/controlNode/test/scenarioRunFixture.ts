import {assertNever} from '@gentianshunt/errors';
import type {LogIndex} from '@gentianshunt/messages';

import {createCluster} from './clusterFixture.js';
import type {Cluster} from './clusterFixture.js';
import {createPutCommand} from './commandFixture.js';
import {createInvariantChecker, listLostCommands} from './invariantFixture.js';
import type {InvariantChecker} from './invariantFixture.js';
import type {TestMember} from './memberFixture.js';
import {createRandom} from './randomFixture.js';
import type {Random} from './randomFixture.js';
import {drawScenario} from './scenarioFixture.js';
import type {Disturbance, Pause, Victim} from './scenarioFixture.js';

const BOOTSTRAPPED_NODES = 3;
const START_MS = 10_000;
const COMMAND_INTERVAL_MS = 500;
const MAX_START_SPREAD_MS = 400;
/** Time for one command to be acknowledged. */
const COMMAND_MS = 500;
/** Most changes of the members that one disturbance may cause. */
const MAX_CHANGES_PER_DISTURBANCE = 8;

interface Run {
  readonly random: Random;
  readonly cluster: Cluster;
  readonly checker: InvariantChecker;
  commands: number;
  /** Committed changes of the members, up to an index of the log. */
  changes: number;
  countedIndex: LogIndex;
}

/** Runs the scenario of a seed; throws if the group breaks a property. */
export function runScenario(seed: number): void {
  const random = createRandom(seed);
  const {nodes, steps} = drawScenario(random);
  const run = startRun(random, nodes);
  checkRecovered(run, 'after the start');
  steps.forEach((step, position) => {
    const name = `step ${position} ${JSON.stringify(step)}`;
    const {changes} = run;
    disturb(run, step.disturbance);
    runPause(run, step.pause);
    checkRecovered(run, name);
    checkChanges(run, changes, name);
  });
  checkServing(run);
}

function startRun(random: Random, nodes: number): Run {
  const cluster = createCluster(BOOTSTRAPPED_NODES, random);
  const checker = createInvariantChecker(cluster);
  const run: Run = {
    random,
    cluster,
    checker,
    commands: 0,
    changes: 0,
    countedIndex: 0,
  };
  for (let index = BOOTSTRAPPED_NODES; index < nodes; index += 1) {
    cluster.join();
  }
  advance(run, START_MS);
  return run;
}

/** Runs the members, with a command now and then. */
function advance(run: Run, durationMs: number): void {
  const {cluster} = run;
  const end = cluster.readNow() + durationMs;
  while (cluster.readNow() < end) {
    const next = Math.min(end, cluster.readNow() + COMMAND_INTERVAL_MS);
    cluster.runUntil(next, () => checkInstant(run));
    sendCommand(run, cluster.findConfirmedLeader());
  }
}

function sendCommand(run: Run, leader: TestMember | undefined): void {
  if (leader !== undefined) {
    run.commands += 1;
    leader.loop!.post(createPutCommand(run.commands));
  }
}

function checkInstant(run: Run): void {
  const {cluster, checker} = run;
  checker.check();
  cluster.clearSent();
  cluster.checkOneLease();
  for (const member of [...cluster.members]) {
    if (member.haltReason !== undefined) {
      // A daemon whose folder is refused starts with a new one.
      member.replaceFolder();
      cluster.start(member);
    }
  }
  countChanges(run, cluster.findConfirmedLeader());
}

function countChanges(run: Run, leader: TestMember | undefined): void {
  if (leader === undefined) {
    return;
  }
  const {log, logStatus} = leader.loop!.view;
  for (const {key, value} of log.iterateFrom(run.countedIndex + 1)) {
    if (key > logStatus.commitIndex) {
      return;
    }
    run.countedIndex = key;
    run.changes += Number(value.payload.kind === 'membership');
  }
}

function findVictim({cluster, random}: Run, victim: Victim): TestMember {
  const {members} = cluster;
  switch (victim) {
    case 'leader':
      return cluster.findConfirmedLeader() ?? members[0]!;
    case 'oldest':
      return members[0]!;
    case 'newest':
      return members[members.length - 1]!;
    case 'any':
      return random.drawFrom(members);
    default:
      return assertNever(victim, 'findVictim');
  }
}

function disturb(run: Run, disturbance: Disturbance): void {
  const {cluster} = run;
  switch (disturbance.kind) {
    case 'allEnded':
      endAll(run, disturbance.lost, disturbance.downMs);
      return;
    case 'halved': {
      const {members} = cluster;
      cluster.cut(members.slice(0, Math.floor(members.length / 2)));
      advance(run, disturbance.downMs);
      cluster.healLinks();
      return;
    }
    case 'leaderAlone':
      leaveLeaderAlone(run, disturbance.downMs);
      return;
    case 'replaced':
      cluster.remove(findVictim(run, disturbance.victim));
      advance(run, disturbance.downMs);
      cluster.join();
      return;
    case 'emptied':
    case 'killed':
    case 'cut':
    case 'frozen': {
      const victim = findVictim(run, disturbance.victim);
      beginLoss(cluster, victim, disturbance.kind);
      advance(run, disturbance.downMs);
      endLoss(cluster, victim, disturbance.kind);
      return;
    }
    default:
      assertNever(disturbance, 'disturb');
  }
}

type LossKind = 'emptied' | 'killed' | 'cut' | 'frozen';

function beginLoss(cluster: Cluster, victim: TestMember, kind: LossKind): void {
  switch (kind) {
    case 'emptied':
      victim.replaceFolder();
      return;
    case 'killed':
      victim.crash();
      return;
    case 'cut':
      cluster.cut([victim]);
      return;
    case 'frozen':
      cluster.setFrozen(victim, true);
      return;
    default:
      assertNever(kind, 'beginLoss');
  }
}

function endLoss(cluster: Cluster, victim: TestMember, kind: LossKind): void {
  switch (kind) {
    case 'emptied':
    case 'killed':
      cluster.start(victim);
      return;
    case 'cut':
      cluster.healLinks();
      return;
    case 'frozen':
      cluster.setFrozen(victim, false);
      return;
    default:
      assertNever(kind, 'endLoss');
  }
}

function runPause(run: Run, next: Pause): void {
  switch (next.kind) {
    case 'calm':
      break;
    case 'allEnded':
      advance(run, next.afterMs);
      endAll(run, null, next.downMs);
      break;
    default:
      assertNever(next, 'runPause');
  }
  advance(run, next.durationMs);
}

/** Cuts the leader off while the processes of the others end and start. */
function leaveLeaderAlone(run: Run, downMs: number): void {
  const {cluster} = run;
  const leader = findVictim(run, 'leader');
  cluster.cut([leader]);
  const others = cluster.members.filter(member => member !== leader);
  others.forEach(member => member.crash());
  others.forEach(cluster.start);
  advance(run, downMs);
  cluster.healLinks();
}

/** Ends all processes, takes a disk and starts the processes one by one. */
function endAll(run: Run, lost: Victim | null, downMs: number): void {
  const {cluster, random} = run;
  const emptied = lost === null ? undefined : findVictim(run, lost);
  cluster.members.forEach(member => member.crash());
  emptied?.replaceFolder();
  advance(run, downMs);
  const waiting = [...cluster.members];
  while (waiting.length > 0) {
    const next = random.drawFrom(waiting);
    waiting.splice(waiting.indexOf(next), 1);
    cluster.start(next);
    advance(
      run,
      random.drawInteger(0, MAX_START_SPREAD_MS / cluster.members.length),
    );
  }
}

/** Throws unless all nodes are members and enough of them are voters. */
function checkRecovered({cluster}: Run, name: string): void {
  const leader = cluster.findConfirmedLeader();
  if (leader === undefined) {
    throw new Error(`no member leads ${name}`);
  }
  const {memberships} = leader.loop!.view;
  const {members} = memberships[memberships.length - 1]!;
  const living = new Set(cluster.members.map(({folder}) => folder.storage));
  const voters = members.filter(({role}) => role === 'voter');
  const isJoined = [...living].every(storage =>
    members.some(member => member.storage === storage),
  );
  const isReplaced = voters.every(({storage}) => living.has(storage));
  if (!isJoined || !isReplaced || voters.length < BOOTSTRAPPED_NODES) {
    const listed = members.map(({storage, role}) => `${storage} ${role}`);
    const found = [...living].join(', ');
    throw new Error(`members ${listed.join(', ')} of ${found} ${name}`);
  }
}

function checkChanges({changes}: Run, before: number, name: string): void {
  const count = changes - before;
  if (count > MAX_CHANGES_PER_DISTURBANCE) {
    throw new Error(`${count} changes of the members ${name}`);
  }
}

/** Throws unless the group answers and holds all that it acknowledged. */
function checkServing(run: Run): void {
  const {cluster, checker} = run;
  const leader = cluster.findConfirmedLeader()!;
  sendCommand(run, leader);
  const {commands} = run;
  advance(run, COMMAND_MS);
  if (!checker.acknowledged.has(commands)) {
    throw new Error('no command is acknowledged after the final fault');
  }
  const lost = listLostCommands(leader, checker.acknowledged);
  if (lost.length > 0) {
    throw new Error(`acknowledged commands lost: ${lost.join(', ')}`);
  }
}
