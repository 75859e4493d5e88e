import type {PlannedCall} from './loadPlan.js';

/** How a request ended for its caller. */
export type CallEnd =
  | {readonly kind: 'answered'}
  | {readonly kind: 'cancelled'}
  | {
      readonly kind: 'refused';
      readonly status: number;
      readonly notRun: boolean;
    }
  /** The connection failed or the answer was incomplete. */
  | {readonly kind: 'failed'; readonly detail: string};

/** The result of a request as its caller saw it. */
export interface CallResult {
  readonly call: PlannedCall;
  readonly end: CallEnd;
  /** Time to the first byte of the answer, in milliseconds. */
  readonly firstByteMs: number | null;
  readonly totalMs: number;
}
