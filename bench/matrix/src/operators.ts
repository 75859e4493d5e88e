import type {Milliseconds} from '@gentianshunt/clock';
import type {EntryOrder} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {OperatorCommand} from '@gentianshunt/messages';

import type {EntryHost} from './entryHost.js';
import {createSetupCommand, createWeightCommand} from './objects.js';
import type {Schedule} from './schedule.js';
import type {StepListener} from './steps.js';
import type {TraceEvent} from './trace.js';

/** Wait before a command is sent again through another entry. */
const RESEND_MS: Milliseconds = 1_500;
const MAX_SENDS = 8;

/** Operators that resend commands whose answers are lost. */
export interface Operators {
  setUp(number: number): void;
  /** Sets the weight of the gold tier. */
  setWeight(number: number, operator: string, weight: number): void;
  answer(order: Extract<EntryOrder, {readonly kind: 'answerOperator'}>): void;
}

/** What the operators need. */
export interface OperatorsOptions {
  readonly schedule: Schedule;
  readonly hosts: {readonly entries: ReadonlyMap<string, EntryHost>};
  readonly record: (event: TraceEvent) => void;
  readonly onStep: StepListener;
}

interface SentCommand {
  readonly command: OperatorCommand;
  readonly weight: number;
  isAnswered: boolean;
}

/** Creates operators who have sent nothing. */
export function createOperators(options: OperatorsOptions): Operators {
  const {schedule, hosts, record, onStep} = options;
  const sent = new Map<string, SentCommand>();
  let sends = 0;
  const send = (entry: SentCommand, attempt: number): void => {
    if (entry.isAnswered || attempt >= MAX_SENDS) {
      return;
    }
    const entries = [...hosts.entries.values()];
    const host = entries[attempt % entries.length]!;
    sends += 1;
    const correlation = toIdentifier<never>(`command-${sends}`);
    sent.set(correlation, entry);
    const {command} = entry;
    const {operator} = command;
    if (host.process.isAlive) {
      host.process.run(() => {
        onStep('received', {entry: host.process});
        host.post({kind: 'commandReceived', correlation, operator, command});
      });
    }
    schedule.plan(RESEND_MS, () => send(entry, attempt + 1));
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
    answer: ({correlation, progress}) => {
      const entry = sent.get(correlation)!;
      if (progress.kind !== 'answered') {
        if (progress.kind === 'force' && progress.status.isInForce) {
          onStep('inForce', {});
        }
        return;
      }
      entry.isAnswered = true;
      const {answer} = progress;
      if (answer.kind === 'applied' && answer.result.kind === 'accepted') {
        const {digest} = entry.command;
        const {number, version} = answer;
        const at = schedule.clock.readMonotonic();
        const {weight} = entry;
        const kind = 'commandAccepted';
        record({at, kind, number, digest, version, weight});
      }
    },
  };
}
