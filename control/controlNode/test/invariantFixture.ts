import type {TestDeployment} from './deploymentFixture.js';
import type {TestMember, TestMessage} from './memberFixture.js';

/** Watches a deployment for what must never happen. */
export interface InvariantChecker {
  /** Looks at the members and at the messages on their way. */
  check(): void;
  /** Numbers of the commands that were answered, with their versions. */
  readonly acknowledged: ReadonlyMap<number, number>;
}

/** Creates a checker that has seen nothing yet. */
export function createInvariantChecker(
  deployment: TestDeployment,
): InvariantChecker {
  const facts = new Map<string, string>();
  const acknowledged = new Map<number, number>();
  const versions = new WeakMap<object, number>();
  const checkedUntil = new WeakMap<object, number>();
  const readReplies = new Map<TestMember, number>();

  const require = (fact: string, value: string): void => {
    const known = facts.get(fact);
    if (known !== undefined && known !== value) {
      throw new Error(`${fact}: ${known}, then ${value}`);
    }
    facts.set(fact, value);
  };
  const checkMember = (member: TestMember): void => {
    const {loop} = member;
    if (loop === undefined) {
      return;
    }
    const {role, ballot, log, logStatus, applied} = loop.view;
    if (role.kind === 'leader') {
      require(`leader of term ${ballot.term}`, member.node);
    }
    const from = (checkedUntil.get(loop) ?? 0) + 1;
    for (const {key, value} of log.iterateFrom(from)) {
      if (key > logStatus.commitIndex) {
        break;
      }
      require(`entry ${key}`, JSON.stringify(value));
    }
    checkedUntil.set(loop, logStatus.commitIndex);
    if (applied.version < (versions.get(loop) ?? 0)) {
      throw new Error(`version of ${member.node} went back`);
    }
    versions.set(loop, applied.version);
  };
  const checkMessage = ({sender, to, message}: TestMessage): void => {
    if (message.kind === 'voteReply' && message.granted && !message.preVote) {
      require(`vote of ${sender} in term ${message.term}`, to);
    }
  };
  const noteReplies = (member: TestMember): void => {
    const from = readReplies.get(member) ?? 0;
    readReplies.set(member, member.replies.length);
    for (const reply of member.replies.slice(from)) {
      if (reply.kind === 'commandReply' && reply.answer.kind === 'applied') {
        const {number, version} = reply.answer;
        require(`version of command ${number}`, String(version));
        acknowledged.set(number, version);
      }
    }
  };
  return {
    acknowledged,
    check: () => {
      deployment.members.forEach(checkMember);
      deployment.bag.forEach(checkMessage);
      deployment.members.forEach(noteReplies);
    },
  };
}

/** Lists the acknowledged commands that a member does not know. */
export function listLost(
  member: TestMember,
  acknowledged: ReadonlyMap<number, number>,
): readonly number[] {
  const commands = [...member.loop!.view.commands.iterateFrom()];
  const versions = new Map(
    commands.map(({value: {answer}}) => [
      answer.number,
      answer.kind === 'applied' ? answer.version : undefined,
    ]),
  );
  return [...acknowledged]
    .filter(([number, version]) => versions.get(number) !== version)
    .map(([number]) => number);
}
