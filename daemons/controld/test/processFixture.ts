import type {ObjectCommand} from '@gentianshunt/configuration';
import {createDeployment} from '@gentianshunt/deployment';
import type {DeployedControl, Deployment} from '@gentianshunt/deployment';
import {createEntrySubscriber} from '@gentianshunt/entrySubscriber';
import type {EntrySubscriber} from '@gentianshunt/entrySubscriber';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import type {CommandAnswer} from '@gentianshunt/messages';

/** Commands that are sent concurrently. */
const COMMANDS_IN_FLIGHT = 4;

/** Control daemons and a stand-in entry that sends them commands. */
export interface TestProcesses {
  readonly deployment: Deployment;
  readonly answers: ReadonlyMap<number, CommandAnswer>;
  findLeader(): DeployedControl;
  /** Sends commands until the command with the given number is answered. */
  sendUntil(last: number): Promise<void>;
  /** Resends a command that was already answered. */
  resend(number: number): Promise<CommandAnswer>;
  stop(): Promise<void>;
}

/** Starts control daemons as processes. */
export async function createTestProcesses(
  controls: number,
): Promise<TestProcesses> {
  const deployment = await createDeployment({controls, entries: 0});
  const subscriber = await createSubscriber(deployment);
  const answers = new Map<number, CommandAnswer>();
  let next = 1;
  const sendNext = async (last: number): Promise<void> => {
    while (next <= last) {
      const number = next;
      next += 1;
      const answer = await subscriber.command(number, createCommands(number));
      answers.set(number, answer);
    }
  };
  return {
    deployment,
    answers,
    findLeader: () =>
      deployment.controls.find(({node}) => node === subscriber.leader)!,
    sendUntil: async last => {
      const senders = Array.from({length: COMMANDS_IN_FLIGHT}, () =>
        sendNext(last),
      );
      await Promise.all(senders);
    },
    resend: number => subscriber.command(number, createCommands(number)),
    stop: async () => {
      await subscriber.close();
      await deployment.stop();
    },
  };
}

function createSubscriber(deployment: Deployment): Promise<EntrySubscriber> {
  return createEntrySubscriber({
    node: toIdentifier<NodeId>('subscriber'),
    controls: deployment.controls.map(({node, peer}) => ({
      node: toIdentifier<NodeId>(node),
      address: peer,
    })),
  });
}

function createCommands(number: number): readonly ObjectCommand[] {
  return [
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
  ];
}
