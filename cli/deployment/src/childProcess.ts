import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';

import {SchedulerError} from '@gentianshunt/errors';

/** Time for a process to report that it is ready, in milliseconds. */
const READY_TIMEOUT_MS = 20_000;

/** A process did not report that it is ready. */
export class ProcessStartError extends SchedulerError {
  constructor(script: string, detail: string) {
    super({
      code: 'ERR_PROCESS_START',
      message: `process did not become ready: ${detail}`,
      origin: {step: 'startProcess', peer: script},
    });
  }
}

/** A process that is ready. */
export interface StartedProcess {
  readonly child: ChildProcess;
  /** The record with which the process reported that it is ready. */
  readonly ready: Readonly<Record<string, unknown>>;
  /** Sends a signal and waits for the process to end. */
  stop(signal?: NodeJS.Signals): Promise<void>;
}

/** Starts a script and waits for the line that reports it as ready. */
export async function startProcess(
  script: string,
  args: readonly string[],
): Promise<StartedProcess> {
  const child = spawn(process.execPath, [script, ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const ready = await awaitReady(child, script);
  return {
    child,
    ready,
    stop: async signal => {
      if (child.exitCode !== null || child.signalCode !== null) {
        return;
      }
      const exited = new Promise(resolve => child.once('exit', resolve));
      child.kill(signal ?? 'SIGTERM');
      await exited;
    },
  };
}

function awaitReady(
  child: ChildProcess,
  script: string,
): Promise<Readonly<Record<string, unknown>>> {
  return new Promise((resolve, reject) => {
    const fail = (detail: string): void => {
      child.kill('SIGKILL');
      reject(new ProcessStartError(script, detail));
    };
    const timer = setTimeout(() => fail('timed out'), READY_TIMEOUT_MS);
    child.once('exit', code => fail(`exit code ${code}`));
    // The ready record is one of the JSON log lines on standard output.
    createInterface({input: child.stdout!}).on('line', line => {
      const record = JSON.parse(line) as Readonly<Record<string, unknown>>;
      if (record['ready'] === true) {
        clearTimeout(timer);
        child.removeAllListeners('exit');
        resolve(record);
      }
    });
  });
}
