import type {Arrival} from './arrivals.js';
import type {EngineListener} from './engine.js';
import type {FaultName} from './fault.js';
import type {Fleet} from './fleet.js';
import type {Profile} from './profile.js';
import type {RunRecorder} from './runRecorder.js';
import type {Timeline} from './timeline.js';

/** A policy as the bench drives it. */
export interface Scheduler extends EngineListener {
  begin(fleet: Fleet): void;
  receive(arrival: Arrival): void;
  /** The caller has left without an answer. */
  disconnectCaller(arrival: Arrival): void;
}

/** What a scheduler may use. */
export interface SchedulerOptions {
  readonly profile: Profile;
  readonly fault: FaultName;
  readonly seed: number;
  readonly timeline: Timeline;
  readonly recorder: RunRecorder;
}
