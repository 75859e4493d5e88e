import type {Milliseconds} from '@gentianshunt/clock';
import type {
  AdmittedRequest,
  Dispatch,
  EndpointSignals,
  Refusal,
} from '@gentianshunt/entryModel';
import type {RequestId} from '@gentianshunt/identifiers';
import type {CallAttributes} from '@gentianshunt/routing';

/** Header names and values alternately, as sent on the wire. */
export type RawHeaders = readonly string[];

/** The request line and headers of a call as the caller sent them. */
export interface CallHead {
  readonly method: string;
  /** Path and query, unchanged. */
  readonly url: string;
  readonly headers: RawHeaders;
}

/** A parsed call, or the reason why it could not be parsed. */
export type ParsedCall =
  | {readonly kind: 'read'; readonly attributes: CallAttributes}
  | {readonly kind: 'malformed'; readonly detail: string};

/** Inputs for the headers with which a call is sent to an endpoint. */
export interface EndpointHeadOptions {
  readonly call: CallHead;
  readonly request: AdmittedRequest;
  readonly dispatch: Dispatch;
  readonly timeLeftMs: Milliseconds;
  /** ID of the last event sent to the caller, if a stream is resumed. */
  readonly lastEventId: string | null;
}

/** The status and headers of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: RawHeaders;
}

/** What the headers of an endpoint's answer state about it. */
export interface AnswerAttributes {
  /** The call that it answers; `null` if it names none. */
  readonly call: RequestId | null;
  /** Whether the endpoint promises that the call has not run and will not. */
  readonly isNotExecuted: boolean;
  /** Whether it carries the endpoint's seal, which marks a genuine answer. */
  readonly isAuthentic: boolean;
  readonly signals: EndpointSignals;
}

/** An answer that the scheduler creates itself. */
export interface SchedulerAnswer {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly body: string;
}

/** Maps calls and answers to the headers and bodies that a deployment uses. */
export interface CallProtocol {
  readCall(head: CallHead): ParsedCall;
  /** Lists the headers with which a call is sent to an endpoint. */
  listEndpointHeaders(options: EndpointHeadOptions): RawHeaders;
  /** Lists the headers with which a call is passed on to another entry. */
  listRelayHeaders(head: CallHead, timeLeftMs: Milliseconds): RawHeaders;
  readAnswer(head: AnswerHead): AnswerAttributes;
  formatRefusal(refusal: Refusal): SchedulerAnswer;
  formatMalformed(detail: string): SchedulerAnswer;
}
