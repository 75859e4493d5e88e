import type {Arrival} from './arrivals.js';
import type {EngineListener} from './engine.js';
import type {FaultName} from './fault.js';
import type {Fleet} from './fleet.js';
import type {Profile} from './profile.js';
import type {RunRecorder} from './runRecorder.js';
import type {Timeline} from './timeline.js';

/** The interface between the bench and a policy. */
export interface Scheduler extends EngineListener {
  /** Hands over the engines; called once, before any other method. */
  begin(fleet: Fleet): void;
  /** Called when a request arrives. */
  receive(arrival: Arrival): void;
  /** Called when a caller disconnects before its answer is complete. */
  disconnectCaller(arrival: Arrival): void;
}

/** What a scheduler is created from. */
export interface SchedulerOptions {
  readonly profile: Profile;
  readonly fault: FaultName;
  readonly seed: number;
  readonly timeline: Timeline;
  readonly recorder: RunRecorder;
}
