import {createManualClock} from '@gentianshunt/clock';
import type {Admission} from '@gentianshunt/controlModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId, OperatorId, RequestId} from '@gentianshunt/identifiers';
import type {EntryToControl} from '@gentianshunt/messages';

import {createTestMember} from './memberFixture.js';
import type {TestMember, TestMessage} from './memberFixture.js';

const ENTRY = toIdentifier<NodeId>('entry-0');
const STEP_MS = 10;

/** Members that exchange messages through a bag. */
export interface TestDeployment {
  readonly members: readonly TestMember[];
  /** Messages that are on their way; tests take from it and add to it. */
  readonly bag: TestMessage[];
  deliver(message: TestMessage): void;
  advance(durationMs: number): void;
  /** Delivers all messages, syncs, and advances the clock, in small steps. */
  settle(steps: number): void;
  findLeader(): TestMember | undefined;
  /** Sends a command to a member as an entry would. */
  command(member: TestMember, number: number): void;
  /** Starts a member that is not among the founders. */
  join(name: string): TestMember;
  /** Loses what a member sends and is sent, or no longer does. */
  setCut(member: TestMember, isCut: boolean): void;
}

/** Creates members that their settings list and starts them. */
export function createTestDeployment(count: number): TestDeployment {
  return createDeployment(count, {kind: 'listed'});
}

/** Creates the founders of a group that any node may join. */
export function createOpenDeployment(count: number): TestDeployment {
  return createDeployment(count, {kind: 'open', mayFound: true});
}

function createDeployment(count: number, admission: Admission): TestDeployment {
  const clock = createManualClock();
  const bag: TestMessage[] = [];
  const cut = new Set<NodeId>();
  const nodes = Array.from({length: count}, (_, index) =>
    toIdentifier<NodeId>(`control-${index}`),
  );
  const createMember = (node: NodeId, admitted: Admission): TestMember =>
    createTestMember({
      node,
      members: nodes,
      admission: admitted,
      clock,
      send: message => bag.push(message),
    });
  const members = nodes.map(node => createMember(node, admission));
  const deliver = (message: TestMessage): void => {
    if (!cut.has(message.from) && !cut.has(message.to)) {
      members.find(({node}) => node === message.to)?.receive(message);
    }
  };
  const advance = (durationMs: number): void => {
    clock.advance(durationMs);
    members.forEach(member => member.fireDueTimers());
  };
  const settle = (steps: number): void => {
    for (let step = 0; step < steps; step += 1) {
      members.forEach(member => member.sync());
      bag.splice(0).forEach(deliver);
      members.forEach(member => member.sync());
      advance(STEP_MS);
    }
  };
  members.forEach(member => member.start());
  return {
    members,
    bag,
    deliver,
    advance,
    settle,
    findLeader: () =>
      members
        .filter(({loop}) => loop?.view.role.kind === 'leader')
        .sort((left, right) => readTerm(right) - readTerm(left))[0],
    join: name => {
      const node = toIdentifier<NodeId>(name);
      const joined = createMember(node, {kind: 'open', mayFound: false});
      members.push(joined);
      joined.start();
      return joined;
    },
    setCut: ({node}, isCut) => {
      if (isCut) {
        cut.add(node);
      } else {
        cut.delete(node);
      }
    },
    command: (member, number) =>
      member.loop?.post({
        kind: 'entryMessage',
        from: ENTRY,
        message: createCommand(number),
      }),
  };
}

function readTerm(member: TestMember): number {
  return member.loop!.view.ballot.term;
}

function createCommand(number: number): EntryToControl {
  return {
    kind: 'commandRequest',
    correlation: toIdentifier<RequestId>(`request-${number}`),
    command: {
      number,
      operator: toIdentifier<OperatorId>('operator'),
      digest: `digest-${number}`,
      commands: [
        {
          kind: 'put',
          expectedRevision: 0,
          object: {
            kind: 'requestKind',
            id: toIdentifier(`kind-${number}`),
            revision: 0,
            idempotent: true,
            weight: 1,
          },
        },
      ],
    },
  };
}
