import {setTimeout as delay} from 'node:timers/promises';

import type {CallersOptions} from './callers.js';
import type {ConfigurationLoad} from './configurationLoad.js';
import {runProber} from './configurationProbes.js';
import {createConfigurationReader, runReaders} from './configurationReaders.js';
import type {SoakDeployment} from './deployment.js';
import type {DisturbanceSet} from './disturbanceSet.js';
import {createStream} from './draws.js';
import {injectFinalFault} from './finalFault.js';
import {drawFinalFault} from './finalFaultDraw.js';
import type {OperatorOptions} from './operator.js';
import {runOperator} from './operators.js';
import {BOUNDS, RECOVER_MS} from './soakBounds.js';

/** Options of the operators, the readers and the probe calls of a run. */
export interface ConfigurationWorkloadOptions {
  readonly seed: number;
  readonly load: Exclude<ConfigurationLoad, 'scheduled'>;
  readonly disturbances: DisturbanceSet;
  readonly deployment: SoakDeployment;
  readonly operator: OperatorOptions;
  readonly createCallers: (place: number) => CallersOptions;
  /** Time for which the configuration is read back at the end, at least. */
  readonly readBackMs: number;
}

/** Operators, readers and probe calls that run beside a schedule. */
export interface ConfigurationWorkload {
  /** Begins nothing more; resolves when what was begun has ended. */
  stop(): Promise<void>;
  /** Injects the final fault after `stop`, and reads the configuration back. */
  end(): Promise<void>;
}

const OPERATORS = 2;
const FINAL_FAULT_STREAM = 60_000;
const READ_INTERVAL_MS: Readonly<
  Record<ConfigurationWorkloadOptions['load'], number>
> = {operators: 200, largeDocuments: 800};
/** Time for changes that are still open when the operators stop. */
const OPEN_CHANGES_MS = 6_000;
/** Time for which probe calls are sent after the final fault. */
const RECOVERY_PROBES_MS = 2_000;

/** Starts the operators, the readers and the probe calls. */
export function startConfigurationWorkload(
  options: ConfigurationWorkloadOptions,
): ConfigurationWorkload {
  const {seed, load, deployment, operator, createCallers} = options;
  const stopped = new AbortController();
  const {signal} = stopped;
  const {recorder, listControls} = operator;
  const reader = createConfigurationReader(recorder);
  const operators = Array.from({length: OPERATORS}, (_, index) =>
    runOperator({
      ...operator,
      seed,
      load,
      operator: index,
      stopped: signal,
    }),
  );
  const probers = deployment.vms.map((_, index) =>
    runProber({...createCallers(index), seed, index, signal}),
  );
  const intervalMs = READ_INTERVAL_MS[load];
  const readers = runReaders(
    {seed, listControls, recorder, intervalMs, signal},
    reader,
  );
  return {
    stop: async () => {
      stopped.abort();
      await Promise.race([
        Promise.all([...operators, ...probers, readers]),
        delay(OPEN_CHANGES_MS),
      ]);
    },
    end: async () => {
      const fault = drawFinalFault(
        createStream(seed, FINAL_FAULT_STREAM),
        deployment.vms,
        options.disturbances,
      );
      const sinceStartMs = await injectFinalFault(
        {deployment, operator, reader, readMs: options.readBackMs},
        fault,
      );
      if (options.disturbances !== 'usual') {
        await sampleRecovery(options, sinceStartMs);
      }
    },
  };
}

/** Sends probe calls once the deployment has to serve again and is in touch. */
async function sampleRecovery(
  {seed, deployment, createCallers}: ConfigurationWorkloadOptions,
  sinceStartMs: number,
): Promise<void> {
  await delay(Math.max(RECOVER_MS - sinceStartMs, BOUNDS.contactMs));
  const signal = AbortSignal.timeout(RECOVERY_PROBES_MS);
  const probers = deployment.vms.map((_, place) => {
    const index = deployment.vms.length + place;
    return runProber({...createCallers(place), seed, index, signal});
  });
  await Promise.all(probers);
}
