import {createControlLoop} from '@gentianshunt/board';
import type {ControlLoop} from '@gentianshunt/board';
import type {Clock} from '@gentianshunt/clock';
import {
  createConsensusController,
  createMemberChangeController,
} from '@gentianshunt/consensus';
import {
  createConfirmationController,
  createCopyController,
  createDecisionLogController,
  createJoinController,
  createLeaderSearchController,
  createLogUsageController,
  createMemberCountController,
  createReleaseController,
  createSnapshotController,
  createStartController,
} from '@gentianshunt/controlDecisionLog';
import {createControlSections} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlEffect,
  ControlIdentity,
  ControlObservation,
  ControlSections,
} from '@gentianshunt/controlModel';
import {
  createAppliedReleaseController,
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

/** The settings and adapters of a control daemon's board. */
export interface ControlNodeOptions {
  readonly identity: ControlIdentity;
  readonly clock: Clock;
  /** When the applied state is captured for a snapshot. */
  readonly capture?: CaptureOptions;
  /** Executes an effect; it must not throw and must not block. */
  readonly perform: (effect: ControlEffect) => void;
}

/** The control loop of a control daemon. */
export type ControlNode = ControlLoop<ControlSections, ControlObservation>;

/** Lists the controllers of a control daemon in the order they run. */
export function createControlControllers(
  capture: CaptureOptions = {},
): readonly ControlController[] {
  return [
    // Proposals run before replies: a request is proposed only if no reply is
    // pending for it, and the reply controller records it as pending.
    createProposalController(),
    createReplyController(),
    createConsensusController(),
    createMemberChangeController(),
    createStateMachineController(),
    createAppliedReleaseController(),
    createCaptureController(capture),
    createSessionController(),
    createAssignmentController(),
    createDecisionLogController(),
    createStartController(),
    createConfirmationController(),
    createCopyController(),
    createJoinController(),
    createMemberCountController(),
    createLeaderSearchController(),
    createReleaseController(),
    createSnapshotController(),
    createLogUsageController(),
  ];
}

/** Creates a control daemon's loop; it is idle until `started` is posted. */
export function createControlNode(options: ControlNodeOptions): ControlNode {
  return createControlLoop({
    sections: createControlSections(options.identity),
    controllers: createControlControllers(options.capture),
    clock: options.clock,
    perform: options.perform,
  });
}
