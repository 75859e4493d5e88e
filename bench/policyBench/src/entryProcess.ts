import {createEntryNode} from '@gentianshunt/entryNode';
import type {EntryEffect, EntryObservation} from '@gentianshunt/entryModel';
import type {IncarnationId, NodeId} from '@gentianshunt/identifiers';

import {CONTROL_NODE, createEntryAddress} from './fakeControl.js';
import type {Timeline} from './timeline.js';

const TIMER_GRANULARITY_MS = 1;

/** The effect that schedules a timer. */
export type TimerEffect = Extract<EntryEffect, {readonly kind: 'setTimer'}>;

/** A real entry with timers in virtual time. */
export interface EntryProcess {
  readonly id: NodeId;
  isAlive(): boolean;
  /** Posts an observation to the entry; a stopped entry drops it. */
  post(observation: EntryObservation): void;
  /** Schedules a timer, in place of an earlier timer of the same kind. */
  setTimer(effect: TimerEffect): void;
  stop(): void;
}

/** Parameters of an entry process. */
export interface EntryProcessOptions {
  readonly id: string;
  readonly timeline: Timeline;
  readonly perform: (process: EntryProcess, effect: EntryEffect) => void;
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
      controlNodes: [CONTROL_NODE],
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
      // Rounds up to whole milliseconds as real timers do; a shorter delay
      // might not advance virtual time.
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
