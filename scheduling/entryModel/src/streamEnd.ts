/** Why a front did not send a dispatched request. */
export type WithholdCause =
  /** The caller has disconnected. */
  | 'callerGone'
  /** The time limit of the request has passed. */
  | 'timeLimit'
  /** A part of the prompt was quarantined after the dispatch. */
  | 'promptQuarantined'
  /** Requests like this one were quarantined after the dispatch. */
  | 'requestQuarantined'
  /** The endpoint has asked this entry to send nothing for a while. */
  | 'endpointPaused'
  /** The endpoint left after the request was dispatched. */
  | 'endpointLeft'
  /** The process stood still since, and may not know whether it left. */
  | 'leavesUnknown';

/** How far an answer had come when its stream broke. */
export type AnswerProgress =
  /** Its head had not arrived. */
  | 'awaitingHead'
  /** Its head had arrived, but no whole event. */
  | 'awaitingFirstEvent'
  | 'delivering';

/** How a stream from an endpoint ended. */
export type StreamEnd =
  /** The end marker arrived, and every byte was passed to the caller. */
  | {readonly kind: 'complete'}
  /** The connection failed before a byte of the request was sent. */
  | {readonly kind: 'notSent'; readonly detail: string}
  /** The front did not send the request; no byte has left. */
  | {readonly kind: 'withheld'; readonly cause: WithholdCause}
  /** The endpoint answered with an error status that rejects the request. */
  | {readonly kind: 'rejected'; readonly status: number}
  /** The endpoint reported that the request has not run and will not. */
  | {readonly kind: 'notExecuted'; readonly detail: string}
  /** The endpoint accepted the request and failed; no byte was passed on. */
  | {readonly kind: 'failed'; readonly status: number}
  /** The stream broke before its end marker. */
  | {
      readonly kind: 'cut';
      readonly detail: string;
      /** Complete events that were passed to the caller. */
      readonly events: number;
      readonly progress: AnswerProgress;
    };
