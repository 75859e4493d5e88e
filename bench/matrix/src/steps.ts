import type {FakeProcess} from './fakeProcess.js';

/** Steps of a request, from the announcement of an endpoint to its count. */
export const REQUEST_STEPS = [
  /** An endpoint sends an announcement to an entry. */
  'announced',
  /** A caller asks an entry for the addresses of entries. */
  'lookedUp',
  /** An entry accepts a request. */
  'accepted',
  /** An entry sends a demand report to its set leader. */
  'demandSent',
  /** A set leader sends a reply that grants slots. */
  'slotGranted',
  /** An entry sends a claim on an idempotency key to a control daemon. */
  'claimed',
  /** An entry sends a request to an endpoint. */
  'dispatched',
  /** An endpoint produces the first token of an answer. */
  'firstToken',
  /** An endpoint produces the middle token of an answer. */
  'middle',
  /** An endpoint produces the last token of an answer. */
  'lastToken',
  /** An entry receives the end of an answer. */
  'endMark',
  /** An entry sends the cancellation of a request to an endpoint. */
  'cancelSent',
  /** An entry records the end of a request in its counts. */
  'counted',
] as const;

/** Steps of an operator's command. */
export const COMMAND_STEPS = [
  /** An entry receives a command from an operator. */
  'received',
  /** A control daemon writes a command to its log. */
  'appended',
  /** The control leader applies a committed version. */
  'committed',
  /** A control follower applies a committed version. */
  'applied',
  /** The control leader sends the answer to a command. */
  'answered',
  /** An entry reports to the operator that a version is in force. */
  'inForce',
] as const;

/** A step at which a fault can be injected. */
export type Step =
  (typeof REQUEST_STEPS)[number] | (typeof COMMAND_STEPS)[number];

/** The processes and the request that a step involves. */
export interface StepContext {
  readonly entry?: FakeProcess;
  readonly control?: FakeProcess;
  readonly endpoint?: FakeProcess;
  readonly request?: string;
}

/** Called when a step is reached, before its effects are executed. */
export type StepListener = (step: Step, context: StepContext) => void;
