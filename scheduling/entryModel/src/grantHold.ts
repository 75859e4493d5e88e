/** Times in which requests wait for a set and none of them is granted a slot. */
import type {MonotonicTime} from '@gentianshunt/clock';

/** Why a set leader grants nothing to any entry, whatever they report. */
export type GrantObstacle =
  /** Its lease has lapsed. */
  | 'noLease'
  /** It is new and collects demand reports. */
  | 'collectingReports'
  /** It knows no endpoint of the set that accepts requests. */
  | 'noEndpoints';

/** Why a set leader grants nothing to waiting requests. */
export type GrantHoldCause =
  | GrantObstacle
  /** The endpoints that it knows are withheld after failures. */
  | 'endpointsFailing'
  /** Their own limits leave nothing. */
  | 'endpointsLimited'
  /** All that they process at once is in use or granted. */
  | 'capacityOccupied'
  /** The limits of the organisations leave nothing. */
  | 'organisationsLimited'
  /** What is free does not suit the requests yet. */
  | 'requestsDeferred';

/** A time in which a set leader grants nothing, and which has not ended. */
export interface GrantHold {
  readonly cause: GrantHoldCause;
  readonly since: MonotonicTime;
  /** When it was last logged; `null` if it was not. */
  readonly loggedAt: MonotonicTime | null;
}

/** An entry's wait for the first grant to requests of a set, when it was logged. */
export interface LoggedGrantWait {
  readonly loggedAt: MonotonicTime;
}
