import {createEntryNode} from '@gentianshunt/entryNode';
import type {EntryObservation, EntryOrder} from '@gentianshunt/entryModel';
import type {IncarnationId, NodeId} from '@gentianshunt/identifiers';

import {CONTROL_NODE, createEntryAddress} from './fakeControl.js';
import type {Timeline} from './timeline.js';

const TIMER_GRANULARITY_MS = 1;

/** An order to start a timer. */
export type TimerEffect = Extract<EntryOrder, {readonly kind: 'setTimer'}>;

/** A real entry with timers in virtual time. */
export interface EntryProcess {
  readonly id: NodeId;
  isAlive(): boolean;
  /** Hands over an observation; a stopped entry drops it. */
  post(observation: EntryObservation): void;
  setTimer(effect: TimerEffect): void;
  stop(): void;
}

/** What an entry process is made of. */
export interface EntryProcessOptions {
  readonly id: string;
  readonly timeline: Timeline;
  readonly perform: (process: EntryProcess, effect: EntryOrder) => void;
}

/** Creates an entry that has not started yet. */
export function createEntryProcess(options: EntryProcessOptions): EntryProcess {
  const {timeline} = options;
  const timerGenerations = new Map<string, number>();
  let alive = true;
  const node = createEntryNode({
    identity: {
      address: createEntryAddress(options.id),
      incarnation: '1' as IncarnationId,
      controls: [CONTROL_NODE],
    },
    clock: timeline.clock,
    perform: effect => options.perform(process, effect),
  });
  const process: EntryProcess = {
    id: options.id as NodeId,
    isAlive: () => alive,
    post: observation => {
      if (alive) {
        node.post(observation);
      }
    },
    setTimer: ({timer, delayMs}) => {
      const generation = (timerGenerations.get(timer.kind) ?? 0) + 1;
      timerGenerations.set(timer.kind, generation);
      // A machine's timers have a granularity; a shorter one may not advance.
      const wholeMs = Math.max(TIMER_GRANULARITY_MS, Math.ceil(delayMs));
      timeline.schedule(wholeMs, () => {
        if (timerGenerations.get(timer.kind) === generation) {
          process.post({kind: 'timerDue', timer});
        }
      });
    },
    stop: () => {
      alive = false;
    },
  };
  return process;
}
