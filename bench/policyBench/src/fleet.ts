import {assertNever} from '@gentianshunt/errors';

import type {Arrival} from './arrivals.js';
import {createEngine} from './engine.js';
import type {Engine, EngineListener, EngineLoad} from './engine.js';
import {
  FAULT_START_MS,
  readLoadReportLag,
  SLOWDOWN_DURATION_MS,
  SLOWDOWN_FACTOR,
} from './fault.js';
import type {FaultName} from './fault.js';
import type {Profile} from './profile.js';
import type {RunRecorder} from './runRecorder.js';
import type {Timeline} from './timeline.js';

/** The load of an engine some time ago, as a load report gives it. */
export interface StaleLoad extends EngineLoad {
  readonly ageMs: number;
}

/** The engines of a run and their load reports. */
export interface Fleet {
  readonly engines: readonly Engine[];
  /** Returns the load with the lag that the fault of the run gives. */
  readStaleLoad(engine: Engine): StaleLoad;
}

/** Parameters of a fleet. */
export interface FleetOptions {
  readonly profile: Profile;
  readonly fault: FaultName;
  readonly timeline: Timeline;
  readonly recorder: RunRecorder;
  readonly listener: EngineListener;
}

const LOAD_SAMPLE_INTERVAL_MS = 250;

interface LoadSample {
  readonly at: number;
  readonly load: EngineLoad;
}

/** Creates the engines and schedules the fault that is injected into them. */
export function createFleet(options: FleetOptions): Fleet {
  const {profile, timeline, recorder, fault} = options;
  const engines = profile.engines.map(spec =>
    createEngine({
      spec,
      timeline,
      listener: options.listener,
      countPrefill: (arrival: Arrival, tokens) =>
        recorder.countPrefill(arrival, tokens),
    }),
  );
  const samples = new Map<Engine, LoadSample[]>();
  const lagMs = readLoadReportLag(fault);
  const sampleLoads = (): void => {
    const at = timeline.clock.readMonotonic();
    for (const engine of engines) {
      const history = samples.get(engine) ?? [];
      history.push({at, load: engine.readLoad()});
      while (history.length > 1 && history[1]!.at <= at - lagMs) {
        history.shift();
      }
      samples.set(engine, history);
    }
    timeline.schedule(LOAD_SAMPLE_INTERVAL_MS, sampleLoads);
  };
  sampleLoads();
  scheduleEngineFault(engines, timeline, fault);
  return {
    engines,
    readStaleLoad: engine => {
      const oldest = samples.get(engine)![0]!;
      const ageMs = timeline.clock.readMonotonic() - oldest.at;
      return {...oldest.load, ageMs};
    },
  };
}

function scheduleEngineFault(
  engines: readonly Engine[],
  timeline: Timeline,
  fault: FaultName,
): void {
  switch (fault) {
    case 'engineSlow': {
      // The first engine is the fastest of the model set and does most work.
      const engine = engines[0]!;
      timeline.schedule(FAULT_START_MS, () =>
        engine.setSlowdownFactor(SLOWDOWN_FACTOR),
      );
      timeline.schedule(FAULT_START_MS + SLOWDOWN_DURATION_MS, () =>
        engine.setSlowdownFactor(1),
      );
      return;
    }
    case 'halfEngines':
      timeline.schedule(FAULT_START_MS, () =>
        engines
          .filter((_, index) => index % 2 === 1)
          .forEach(engine => engine.stop()),
      );
      return;
    case 'none':
    case 'burst':
    case 'leaderLost':
    case 'lateReports':
      return;
    default:
      assertNever(fault, 'scheduleEngineFault');
  }
}
