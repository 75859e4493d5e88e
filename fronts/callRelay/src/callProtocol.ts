import type {Milliseconds} from '@gentianshunt/clock';
import type {
  AdmittedRequest,
  Dispatch,
  Refusal,
} from '@gentianshunt/entryModel';
import type {RequestId} from '@gentianshunt/identifiers';
import type {CallFacts} from '@gentianshunt/routing';

/** Header names and values in turn, as they stand on the wire. */
export type RawHeaders = readonly string[];

/** The head of a call as the caller sent it. */
export interface CallHead {
  readonly method: string;
  /** Path and query, unchanged. */
  readonly url: string;
  readonly headers: RawHeaders;
}

/** A call that could be read, or why it could not. */
export type ReadCall =
  | {readonly kind: 'read'; readonly facts: CallFacts}
  | {readonly kind: 'malformed'; readonly detail: string};

/** What the head for an endpoint is made from. */
export interface EndpointHeadOptions {
  readonly call: CallHead;
  readonly request: AdmittedRequest;
  readonly dispatch: Dispatch;
  readonly timeLeftMs: Milliseconds;
  /** The last event that the caller has, when a stream goes on. */
  readonly lastEventId: string | null;
}

/** The head of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: RawHeaders;
}

/** What an endpoint says of its answer. */
export interface AnswerFacts {
  /** The call that it answers; `null` when it does not say. */
  readonly call: RequestId | null;
  /** Whether it promises that the call has not run and will not. */
  readonly isNotExecuted: boolean;
  /** Whether it bears the endpoint's mark of a true answer. */
  readonly isAuthentic: boolean;
}

/** An answer of the scheduler's own. */
export interface OwnAnswer {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly body: string;
}

/** The names by which a deployment speaks of calls. */
export interface CallProtocol {
  readCall(head: CallHead): ReadCall;
  listEndpointHeaders(options: EndpointHeadOptions): RawHeaders;
  readAnswer(head: AnswerHead): AnswerFacts;
  formatRefusal(refusal: Refusal): OwnAnswer;
  formatMalformed(detail: string): OwnAnswer;
}
