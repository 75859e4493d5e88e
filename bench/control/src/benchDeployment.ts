import type {ObjectCommand} from '@gentianshunt/configuration';
import {createDeployment} from '@gentianshunt/deployment';
import type {Deployment} from '@gentianshunt/deployment';
import {createEntrySubscriber} from '@gentianshunt/entrySubscriber';
import type {EntrySubscriber} from '@gentianshunt/entrySubscriber';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import type {CommandAnswer} from '@gentianshunt/messages';

/** Number of request kinds that the commands change in rotation. */
const REQUEST_KIND_COUNT = 100;

/** Control daemons, and stand-in entries that subscribe and send commands. */
export interface BenchDeployment {
  readonly deployment: Deployment;
  readonly sender: EntrySubscriber;
  /** Sends the next command and waits for its answer. */
  sendCommand(): Promise<CommandAnswer>;
  /** Sends `count` commands, with at most `inFlight` unanswered at a time. */
  sendCommands(count: number, inFlight: number): Promise<void>;
  /** Starts a stand-in entry, which reports each new version it receives. */
  subscribe(
    name: string,
    onVersion?: (version: number) => void,
  ): Promise<EntrySubscriber>;
  stop(): Promise<void>;
}

/** Starts control daemons and waits until they have answered a command. */
export async function createBenchDeployment(
  controls: number,
): Promise<BenchDeployment> {
  const deployment = await createDeployment({controls, entries: 0});
  const subscribers: EntrySubscriber[] = [];
  const subscribe: BenchDeployment['subscribe'] = async (name, onVersion) => {
    const subscriber = await createEntrySubscriber({
      node: toIdentifier<NodeId>(name),
      controls: deployment.controls.map(({node, peer}) => ({
        node: toIdentifier<NodeId>(node),
        address: peer,
      })),
      ...(onVersion === undefined ? {} : {onVersion}),
    });
    subscribers.push(subscriber);
    return subscriber;
  };
  const sender = await subscribe('sender');
  let nextNumber = 1;
  const sendCommand = (): Promise<CommandAnswer> => {
    const number = nextNumber;
    nextNumber += 1;
    return sender.command(number, createCommands(number));
  };
  await sendCommand();
  return {
    deployment,
    sender,
    sendCommand,
    sendCommands: async (count, inFlight) => {
      let remaining = count;
      const sendNext = async (): Promise<void> => {
        while (remaining > 0) {
          remaining -= 1;
          await sendCommand();
        }
      };
      await Promise.all(Array.from({length: inFlight}, sendNext));
    },
    subscribe,
    stop: async () => {
      await Promise.all(subscribers.map(subscriber => subscriber.close()));
      await deployment.stop();
    },
  };
}

function createCommands(number: number): readonly ObjectCommand[] {
  return [
    {
      kind: 'put',
      expectedRevision: null,
      object: {
        kind: 'requestKind',
        id: toIdentifier(`kind-${number % REQUEST_KIND_COUNT}`),
        revision: 0,
        idempotent: true,
        weight: 1,
      },
    },
  ];
}
