import {readFileSync} from 'node:fs';

/** Unit of the processor times in `/proc/PID/stat`. */
const TICKS_PER_SECOND = 100;

/** Resources that a process has used since it started. */
export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly writtenBytes: number;
}

/** Reads a process's usage; written bytes include those to sockets. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'latin1');
  // The process name, in parentheses, may itself contain spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const io = readFileSync(`/proc/${pid}/io`, 'latin1');
  const written = /^wchar: (\d+)$/m.exec(io);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    writtenBytes: Number(written?.[1]),
  };
}
