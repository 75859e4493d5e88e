import type {Milliseconds} from '@gentianshunt/clock';
import type {EntryEffect} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {OperatorCommand} from '@gentianshunt/messages';

import type {EntryHost} from './entryHost.js';
import {createSetupCommand, createWeightCommand} from './objects.js';
import type {Scheduler} from './scheduler.js';
import type {StepListener} from './steps.js';
import type {TraceEvent} from './trace.js';

/** Wait before a command is sent again through another entry. */
const RESEND_MS: Milliseconds = 1_500;
const MAX_SENDS = 8;

/** Operators that resend a command until it is answered. */
export interface Operators {
  /** Sends the command that puts the configuration objects of every cell. */
  setUp(number: number): void;
  /** Sends a command that sets the weight of the gold tier. */
  setWeight(number: number, operator: string, weight: number): void;
  processAnswer(
    effect: Extract<EntryEffect, {readonly kind: 'answerOperator'}>,
  ): void;
}

/** Options of the operators. */
export interface OperatorsOptions {
  readonly scheduler: Scheduler;
  readonly hosts: {readonly entries: ReadonlyMap<string, EntryHost>};
  readonly record: (event: TraceEvent) => void;
  readonly onStep: StepListener;
}

interface SentCommand {
  readonly command: OperatorCommand;
  readonly weight: number;
  isAnswered: boolean;
}

/** Creates operators that have sent nothing. */
export function createOperators(options: OperatorsOptions): Operators {
  const {scheduler, hosts, record, onStep} = options;
  const sent = new Map<string, SentCommand>();
  let sends = 0;
  const send = (sentCommand: SentCommand, attempt: number): void => {
    if (sentCommand.isAnswered || attempt >= MAX_SENDS) {
      return;
    }
    const entries = [...hosts.entries.values()];
    const host = entries[attempt % entries.length]!;
    sends += 1;
    const correlation = toIdentifier<never>(`command-${sends}`);
    sent.set(correlation, sentCommand);
    const {command} = sentCommand;
    const {operator} = command;
    if (host.process.isAlive) {
      host.process.run(() => {
        onStep('received', {entry: host.process});
        host.post({kind: 'commandReceived', correlation, operator, command});
      });
    }
    scheduler.schedule(RESEND_MS, () => send(sentCommand, attempt + 1));
  };
  return {
    setUp: number => {
      const command = createSetupCommand(number);
      send({command, weight: 1, isAnswered: false}, 0);
    },
    setWeight: (number, operator, weight) => {
      const command = createWeightCommand(number, operator, weight);
      send({command, weight, isAnswered: false}, number);
    },
    processAnswer: ({correlation, progress}) => {
      const sentCommand = sent.get(correlation)!;
      if (progress.kind !== 'answered') {
        if (progress.kind === 'force' && progress.status.isInForce) {
          onStep('inForce', {});
        }
        return;
      }
      sentCommand.isAnswered = true;
      const {answer} = progress;
      if (answer.kind === 'applied' && answer.result.kind === 'accepted') {
        const {digest} = sentCommand.command;
        const {number, version} = answer;
        const at = scheduler.clock.readMonotonic();
        const {weight} = sentCommand;
        const kind = 'commandAccepted';
        record({at, kind, number, digest, version, weight});
      }
    },
  };
}
