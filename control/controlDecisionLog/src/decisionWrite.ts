import type {ControlDecision, ControlWrite} from '@gentianshunt/controlModel';

/** Creates the write that records a decision in the decision log. */
export function createDecisionWrite(
  decision: ControlDecision,
): ControlWrite<never> {
  return {kind: 'effect', effect: {kind: 'logDecision', decision}};
}
