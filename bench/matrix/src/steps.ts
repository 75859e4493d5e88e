import type {FakeProcess} from './fakeProcess.js';

/** Steps of a request's life. */
export const REQUEST_STEPS = [
  'announced',
  'lookedUp',
  'accepted',
  'demandSent',
  'slotGranted',
  'claimed',
  'dispatched',
  'firstToken',
  'middle',
  'lastToken',
  'endMark',
  'cancelSent',
  'counted',
] as const;

/** Steps of an operator's command. */
export const COMMAND_STEPS = [
  'received',
  'appended',
  'committed',
  'applied',
  'answered',
  'inForce',
] as const;

/** A step at which a fault can strike. */
export type Step =
  (typeof REQUEST_STEPS)[number] | (typeof COMMAND_STEPS)[number];

/** Who takes part in a step that is being reached. */
export interface StepContext {
  readonly entry?: FakeProcess;
  readonly control?: FakeProcess;
  readonly endpoint?: FakeProcess;
  readonly request?: string;
}

/** Called when a step is reached, before what follows from it is done. */
export type StepListener = (step: Step, context: StepContext) => void;
