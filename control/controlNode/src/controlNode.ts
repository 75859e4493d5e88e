import {createControlLoop} from '@gentianshunt/board';
import type {ControlLoop} from '@gentianshunt/board';
import type {Clock} from '@gentianshunt/clock';
import {
  createConsensusController,
  createMemberChangeController,
} from '@gentianshunt/consensus';
import {createControlLog} from '@gentianshunt/controlLog';
import {createControlSections} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlIdentity,
  ControlObservation,
  ControlOrder,
  ControlSections,
} from '@gentianshunt/controlModel';
import {
  createAssignmentController,
  createProposalController,
  createReplyController,
  createSessionController,
} from '@gentianshunt/entrySessions';
import {
  createCaptureController,
  createStateMachineController,
} from '@gentianshunt/stateMachine';
import type {CaptureOptions} from '@gentianshunt/stateMachine';

/** What a control daemon is made of. */
export interface ControlNodeOptions {
  readonly identity: ControlIdentity;
  readonly clock: Clock;
  readonly capture?: CaptureOptions;
  /** Carries out an order; it must not throw and must not block. */
  readonly perform: (order: ControlOrder) => void;
}

/** The control loop of a control daemon. */
export type ControlNode = ControlLoop<ControlSections, ControlObservation>;

/** Lists the controllers of a control daemon in the order they run. */
export function createControlControllers(
  capture: CaptureOptions = {},
): readonly ControlController[] {
  return [
    // Proposals come first: replies then record what is under way.
    createProposalController(),
    createReplyController(),
    createConsensusController(),
    createMemberChangeController(),
    createStateMachineController(),
    createCaptureController(capture),
    createSessionController(),
    createAssignmentController(),
    createControlLog(),
  ];
}

/** Creates a control daemon; it does nothing until `started` is posted. */
export function createControlNode(options: ControlNodeOptions): ControlNode {
  return createControlLoop({
    sections: createControlSections(options.identity),
    controllers: createControlControllers(options.capture),
    clock: options.clock,
    perform: options.perform,
  });
}
