import {setTimeout as delay} from 'node:timers/promises';

import type {CallersOptions} from './callers.js';
import type {ConfigurationLoad} from './configurationLoad.js';
import {runProber} from './configurationProbes.js';
import {createConfigurationReader, runReaders} from './configurationReaders.js';
import type {SoakDeployment} from './deployment.js';
import {createStream} from './draws.js';
import {drawFinalFault, injectFinalFault} from './finalFault.js';
import type {OperatorOptions} from './operator.js';
import {runOperator} from './operators.js';
import type {VmProcess} from './vmProcess.js';

/** Options of the operators, the readers and the probe calls of a run. */
export interface ConfigurationWorkloadOptions {
  readonly seed: number;
  readonly load: Exclude<ConfigurationLoad, 'scheduled'>;
  readonly deployment: SoakDeployment;
  readonly operator: OperatorOptions;
  readonly createCallers: (vm: VmProcess) => CallersOptions;
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

/** Starts the operators, the readers and the probe calls. */
export function startConfigurationWorkload(
  options: ConfigurationWorkloadOptions,
): ConfigurationWorkload {
  const {seed, load, deployment, operator, createCallers} = options;
  const stopped = new AbortController();
  const {signal} = stopped;
  const {recorder, controls} = operator;
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
  const probers = deployment.vms.map((vm, index) =>
    runProber({...createCallers(vm), seed, index, signal}),
  );
  const intervalMs = READ_INTERVAL_MS[load];
  const readers = runReaders(
    {seed, controls, recorder, intervalMs, signal},
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
    end: () =>
      injectFinalFault(
        {deployment, operator, reader, readMs: options.readBackMs},
        drawFinalFault(createStream(seed, FINAL_FAULT_STREAM), deployment.vms),
      ),
  };
}
