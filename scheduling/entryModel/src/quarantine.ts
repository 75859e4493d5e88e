// Fingerprints that may crash endpoints: evidence, decisions and messages.
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {
  DispatchId,
  EndpointId,
  EndpointSetId,
  FingerprintId,
  NodeId,
} from '@gentianshunt/identifiers';

import type {Fingerprint} from './fingerprint.js';
import type {AnswerProgress} from './streamEnd.js';

/** Decaying counts of sound answers to requests with a fingerprint. */
export interface SoundRuns {
  /** Decays slowly: whether it was ever sound. */
  readonly lasting: number;
  /** Decays fast: whether it is sound now. */
  readonly recent: number;
}

/** Counts of sound answers at an instant. */
export interface SoundUse extends SoundRuns {
  readonly at: MonotonicTime;
}

/** Identifies the sound answers that one entry reported. */
export interface SoundUseKey {
  readonly fingerprint: FingerprintId;
  readonly node: NodeId;
}

/** A fingerprint, and the sound answers with it at one entry. */
export interface Suspect extends SoundRuns {
  readonly fingerprint: Fingerprint;
}

/** A request that was at an endpoint when the connection failed. */
export interface BrokenRun {
  readonly dispatch: DispatchId;
  readonly set: EndpointSetId;
  readonly endpoint: EndpointId;
  readonly at: MonotonicTime;
  readonly progress: AnswerProgress;
  /** Empty if the answer had delivered events. */
  readonly suspects: readonly Suspect[];
}

/** A broken run in a message. */
export interface ReportedBrokenRun extends Omit<
  BrokenRun,
  'set' | 'at' | 'dispatch'
> {
  readonly ageMs: Milliseconds;
}

/** An endpoint that failed while it ran requests, and these requests. */
export interface EndpointCrash {
  readonly set: EndpointSetId;
  readonly endpoint: EndpointId;
  readonly at: MonotonicTime;
  readonly runs: readonly CrashedRun[];
}

/** A request that a crash ended, as reported by its entry. */
export interface CrashedRun {
  readonly reporter: NodeId;
  readonly progress: AnswerProgress;
  readonly suspects: readonly Suspect[];
}

/** What is decided of a fingerprint that crashes endpoints. */
export type QuarantineState =
  | {
      /** Requests with the fingerprint are refused. */
      readonly kind: 'held';
      /** Until then, entries that know sound answers may object. */
      readonly from: MonotonicTime;
      /** When it may be tested. */
      readonly until: MonotonicTime;
    }
  | {
      /** One request with the fingerprint may run, at one entry. */
      readonly kind: 'testing';
      readonly tester: NodeId;
      readonly until: MonotonicTime;
    }
  /** Remembered, so that a relapse is held for longer. */
  | {readonly kind: 'lifted'; readonly until: MonotonicTime};

/** The quarantine of a fingerprint. */
export interface Quarantine {
  readonly fingerprint: Fingerprint;
  /** The set whose endpoints crashed. */
  readonly set: EndpointSetId;
  /** Rises with each decision; the highest one holds. */
  readonly revision: number;
  readonly changedAt: MonotonicTime;
  /** How often the fingerprint has been held. */
  readonly level: number;
  /** Crashes that led to the decision. */
  readonly crashes: number;
  /** Entries that reported them. */
  readonly reporters: number;
  readonly state: QuarantineState;
}

/** A quarantine in a message: its instants relative to the sending. */
export interface ReportedQuarantine extends Omit<
  Quarantine,
  'changedAt' | 'state'
> {
  readonly ageMs: Milliseconds;
  readonly state:
    | {
        readonly kind: 'held';
        readonly startsInMs: Milliseconds;
        readonly remainingMs: Milliseconds;
      }
    | {
        readonly kind: 'testing';
        readonly tester: NodeId;
        readonly remainingMs: Milliseconds;
      }
    | {readonly kind: 'lifted'; readonly remainingMs: Milliseconds};
}

/** Sound answers that speak against a quarantine. */
export interface ReportedSoundUse extends Suspect {
  /** Whether one of them was given under the quarantine. */
  readonly isUnderQuarantine: boolean;
}

/** How this entry exchanges quarantines with others. */
export interface QuarantineExchange {
  /** Whether it has requested the quarantines that others know. */
  readonly hasRequested: boolean;
  readonly sentAt: MonotonicTime;
}
