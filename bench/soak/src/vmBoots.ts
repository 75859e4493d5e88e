import {listEvents} from './listEvents.js';
import type {RecordedEvent, RunTime} from './recordedEvent.js';

/** The life of one process of a VM. */
export interface VmBoot {
  readonly vm: string;
  readonly pid: number;
  readonly from: RunTime;
  readonly to: RunTime;
}

/** Lists the lives of all processes, in order of their start. */
export function listBoots(events: readonly RecordedEvent[]): readonly VmBoot[] {
  const ends = listEvents(events, 'vmEnded');
  return listEvents(events, 'vmStarted').map(({vm, pid, at}) => {
    const end = ends.find(
      ended => ended.vm === vm && ended.pid === pid && ended.at >= at,
    );
    return {vm, pid, from: at, to: end?.at ?? Infinity};
  });
}

/**
 * Finds the process that a VM ran through a whole time; there is none if another
 * one of the VM ran in that time too.
 */
export function findBoot(
  boots: readonly VmBoot[],
  vm: string,
  from: RunTime,
  to: RunTime,
): VmBoot | undefined {
  const [boot, ...others] = boots.filter(
    candidate =>
      candidate.vm === vm && candidate.from <= to && candidate.to >= from,
  );
  const isWhole = boot !== undefined && boot.from <= from && boot.to >= to;
  return isWhole && others.length === 0 ? boot : undefined;
}
