import type {TestMember, TestMessage} from './memberFixture.js';

/** The members that are checked and the messages that they have sent. */
export interface CheckedDeployment {
  readonly members: readonly TestMember[];
  readonly inFlight: readonly TestMessage[];
}

/**
 * Checks the safety properties of a deployment: one leader and one vote per
 * member in a term, the same committed entries everywhere, versions that never
 * decrease, and one version for each answered command.
 */
export interface InvariantChecker {
  /** Checks the members and the messages in flight; throws on a violation. */
  check(): void;
  /** The answered commands: number to configuration version. */
  readonly acknowledged: ReadonlyMap<number, number>;
}

/** Creates a checker without any recorded values. */
export function createInvariantChecker(
  deployment: CheckedDeployment,
): InvariantChecker {
  const values = new Map<string, string>();
  const acknowledged = new Map<number, number>();
  const versions = new WeakMap<object, number>();
  const checkedUntil = new WeakMap<object, number>();
  const checkedReplies = new Map<TestMember, number>();

  const requireUnchanged = (name: string, value: string): void => {
    const known = values.get(name);
    if (known !== undefined && known !== value) {
      throw new Error(`${name} changed from ${known} to ${value}`);
    }
    values.set(name, value);
  };
  const checkMember = (member: TestMember): void => {
    const {loop} = member;
    if (loop === undefined) {
      return;
    }
    const {role, ballot, log, logStatus, applied} = loop.view;
    if (role.kind === 'leader') {
      requireUnchanged(`leader of term ${ballot.term}`, member.node);
    }
    const from = (checkedUntil.get(loop) ?? 0) + 1;
    for (const {key, value} of log.iterateFrom(from)) {
      if (key > logStatus.commitIndex) {
        break;
      }
      requireUnchanged(`entry ${key}`, JSON.stringify(value));
    }
    checkedUntil.set(loop, logStatus.commitIndex);
    if (applied.version < (versions.get(loop) ?? 0)) {
      throw new Error(`configuration version of ${member.node} decreased`);
    }
    versions.set(loop, applied.version);
  };
  const checkMessage = ({sender, to, message}: TestMessage): void => {
    if (message.kind === 'voteReply' && message.granted && !message.preVote) {
      requireUnchanged(`vote of ${sender} in term ${message.term}`, to);
    }
  };
  const recordReplies = (member: TestMember): void => {
    const from = checkedReplies.get(member) ?? 0;
    checkedReplies.set(member, member.replies.length);
    for (const reply of member.replies.slice(from)) {
      if (reply.kind === 'commandReply' && reply.answer.kind === 'applied') {
        const {number, version} = reply.answer;
        requireUnchanged(`version of command ${number}`, String(version));
        acknowledged.set(number, version);
      }
    }
  };
  return {
    acknowledged,
    check: () => {
      deployment.members.forEach(checkMember);
      deployment.inFlight.forEach(checkMessage);
      deployment.members.forEach(recordReplies);
    },
  };
}

/** Lists the acknowledged commands that a member lacks. */
export function listLostCommands(
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
