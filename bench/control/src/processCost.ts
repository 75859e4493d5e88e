import {readFileSync} from 'node:fs';

/** Clock ticks a second in which Linux counts processor time. */
const TICKS_PER_SECOND = 100;

/** What a process has used since it started. */
export interface ProcessCost {
  readonly cpuSeconds: number;
  readonly writtenBytes: number;
}

/** Reads what a process has used; sockets count as written bytes. */
export function readProcessCost(pid: number): ProcessCost {
  const stat = readFileSync(`/proc/${pid}/stat`, 'latin1');
  // The name, in brackets, may itself contain blanks.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const io = readFileSync(`/proc/${pid}/io`, 'latin1');
  const written = /^wchar: (\d+)$/m.exec(io);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    writtenBytes: Number(written?.[1]),
  };
}
