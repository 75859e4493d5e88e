import type {ControlDecision} from './decision.js';
import type {ControlWrite} from './sections.js';

/** Creates the write that records a decision in the decision log. */
export function createDecisionWrite(
  decision: ControlDecision,
): ControlWrite<never> {
  return {kind: 'effect', effect: {kind: 'logDecision', decision}};
}
