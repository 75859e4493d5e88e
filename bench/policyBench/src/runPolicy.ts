import type {Arrival} from './arrivals.js';
import {createArrivals} from './arrivals.js';
import {createBaseline} from './baseline.js';
import {createEntryCluster} from './entryCluster.js';
import type {FaultName} from './fault.js';
import {createFleet} from './fleet.js';
import {createRunSummary} from './metrics.js';
import type {RunSummary} from './metrics.js';
import type {PolicyName} from './policyName.js';
import type {Profile} from './profile.js';
import {createRunRecorder} from './runRecorder.js';
import type {Scheduler, SchedulerOptions} from './scheduler.js';
import {createTimeline} from './timeline.js';

/** How long requests arrive in a run. */
export const ARRIVAL_PERIOD_MS = 120_000;
/** Requests that arrive before this time are left out of the figures. */
export const WARM_UP_END_MS = 20_000;
/** Start of the arrivals, when the entries have their configuration. */
export const ARRIVALS_START_MS = 2_000;
/** How long a run continues after the last arrivals, so that they end. */
const DRAIN_MS = 300_000;

/** Parameters of a run. */
export interface RunOptions {
  readonly policy: PolicyName;
  readonly profile: Profile;
  readonly load: number;
  readonly seed: number;
  readonly fault: FaultName;
  /** How long requests arrive, `ARRIVAL_PERIOD_MS` by default. */
  readonly durationMs?: number;
}

/** Simulates a policy under the arrivals of a seed. */
export function runPolicy(options: RunOptions): RunSummary {
  const {profile, fault, seed} = options;
  const timeline = createTimeline();
  const recorder = createRunRecorder(timeline.clock);
  const scheduler = createScheduler(options.policy, {
    profile,
    fault,
    seed,
    timeline,
    recorder,
  });
  const answered = new Set<string>();
  const fleet = createFleet({
    profile,
    fault,
    timeline,
    recorder,
    listener: {
      ...scheduler,
      endAnswer: arrival => {
        answered.add(arrival.id);
        scheduler.endAnswer(arrival);
      },
    },
  });
  scheduler.begin(fleet);
  const receive = (arrival: Arrival): void => {
    recorder.recordArrival(arrival);
    timeline.schedule(arrival.patienceMs, () => {
      if (!answered.has(arrival.id)) {
        scheduler.disconnectCaller(arrival);
      }
    });
    scheduler.receive(arrival);
  };
  const arrivals = createArrivals({
    ...options,
    startMs: ARRIVALS_START_MS,
    durationMs: options.durationMs ?? ARRIVAL_PERIOD_MS,
  });
  for (const arrival of arrivals) {
    timeline.schedule(arrival.at, () => receive(arrival));
  }
  timeline.runUntil(ARRIVALS_START_MS + ARRIVAL_PERIOD_MS + DRAIN_MS);
  return createRunSummary({
    profile,
    records: recorder
      .listRecords()
      .filter(({arrival}) => arrival.at >= WARM_UP_END_MS),
    tierOrderViolations: recorder.readTierOrderViolations(),
  });
}

function createScheduler(
  policy: PolicyName,
  options: SchedulerOptions,
): Scheduler {
  return policy === 'gentianshunt'
    ? createEntryCluster(options)
    : createBaseline(policy, options);
}
