import {createManualClock} from '@gentianshunt/clock';
import {DEFAULT_LOG_BOUNDS} from '@gentianshunt/controlModel';
import type {AdmissionPolicy, LogBounds} from '@gentianshunt/controlModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';

import {createPutCommand} from './commandFixture.js';
import {createTestMember} from './memberFixture.js';
import type {TestMember, TestMessage} from './memberFixture.js';

const STEP_MS = 10;

/** Members in one process that exchange messages through a list. */
export interface TestDeployment {
  readonly members: readonly TestMember[];
  /** Messages not delivered yet; tests remove and add some. */
  readonly inFlight: TestMessage[];
  deliver(message: TestMessage): void;
  advance(durationMs: number): void;
  /** Suspends all VMs: only the time of day goes on. */
  suspend(durationMs: number): void;
  /** Repeats a step: syncs, delivers all messages, advances the clock. */
  run(steps: number): void;
  findLeader(): TestMember | undefined;
  /** Sends an operator's command to a member as an entry would. */
  command(member: TestMember, number: number): void;
  /** Starts a node that did not bootstrap the group. */
  join(name: string): TestMember;
  /** Ends a member's process for good. */
  remove(member: TestMember): void;
  /** Drops all messages from and to a member, or delivers them again. */
  setPartitioned(member: TestMember, isPartitioned: boolean): void;
}

/** Starts members of a group that only listed nodes belong to. */
export function createTestDeployment(
  count: number,
  logBounds: LogBounds = DEFAULT_LOG_BOUNDS,
): TestDeployment {
  return createDeployment(count, {kind: 'listed'}, logBounds);
}

/** Starts nodes that bootstrap a group that any node may join. */
export function createOpenDeployment(count: number): TestDeployment {
  const admission = {kind: 'open', mayBootstrap: true} as const;
  return createDeployment(count, admission, DEFAULT_LOG_BOUNDS);
}

function createDeployment(
  count: number,
  admission: AdmissionPolicy,
  logBounds: LogBounds,
): TestDeployment {
  const clock = createManualClock();
  const inFlight: TestMessage[] = [];
  const partitioned = new Set<NodeId>();
  const nodes = Array.from({length: count}, (_, index) =>
    toIdentifier<NodeId>(`control-${index}`),
  );
  const createMember = (
    node: NodeId,
    ownAdmission: AdmissionPolicy,
    seed: number,
  ): TestMember =>
    createTestMember({
      node,
      members: nodes,
      admission: ownAdmission,
      logBounds,
      clock,
      drawSeed: () => seed,
      send: message => inFlight.push(message),
    });
  const members = nodes.map((node, index) =>
    createMember(node, admission, index + 1),
  );
  let joinedCount = 0;
  const deliver = (message: TestMessage): void => {
    if (!partitioned.has(message.from) && !partitioned.has(message.to)) {
      members.find(({node}) => node === message.to)?.receive(message);
    }
  };
  const advance = (durationMs: number): void => {
    clock.advance(durationMs);
    members.forEach(member => member.fireDueTimers());
  };
  const run = (steps: number): void => {
    for (let step = 0; step < steps; step += 1) {
      members.forEach(member => member.sync());
      inFlight.splice(0).forEach(deliver);
      members.forEach(member => member.sync());
      advance(STEP_MS);
    }
  };
  members.forEach(member => member.start());
  return {
    members,
    inFlight,
    deliver,
    advance,
    suspend: clock.suspend,
    run,
    findLeader: () =>
      members
        .filter(({loop}) => loop?.view.role.kind === 'leader')
        .sort((left, right) => readTerm(right) - readTerm(left))[0],
    join: name => {
      const node = toIdentifier<NodeId>(name);
      const joinAdmission = {kind: 'open', mayBootstrap: false} as const;
      joinedCount += 1;
      const joined = createMember(node, joinAdmission, count + joinedCount);
      members.push(joined);
      joined.start();
      return joined;
    },
    remove: member => {
      member.crash();
      members.splice(members.indexOf(member), 1);
    },
    setPartitioned: ({node}, isPartitioned) => {
      if (isPartitioned) {
        partitioned.add(node);
      } else {
        partitioned.delete(node);
      }
    },
    command: (member, number) => member.loop?.post(createPutCommand(number)),
  };
}

function readTerm(member: TestMember): number {
  return member.loop!.view.ballot.term;
}
