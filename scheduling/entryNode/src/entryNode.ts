import {createLookupController} from '@gentianshunt/addressLookup';
import {createControlLoop} from '@gentianshunt/board';
import type {ControlLoop} from '@gentianshunt/board';
import type {Clock} from '@gentianshunt/clock';
import {
  createCommandController,
  createControlController,
  createCountController,
  createQueryController,
  createRefusalController,
  createReplacementController,
  createServiceController,
} from '@gentianshunt/controlClient';
import {
  createDecisionLogController,
  createHeartbeatCountController,
} from '@gentianshunt/decisionLog';
import {createEndpointOrderController} from '@gentianshunt/endpointOrders';
import {createEntrySections} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryEffect,
  EntryIdentity,
  EntryObservation,
  EntrySections,
} from '@gentianshunt/entryModel';
import {
  createHealthController,
  createLimitController,
  createPatienceController,
  createRateController,
  createReachController,
} from '@gentianshunt/learning';
import {createLifecycleController} from '@gentianshunt/lifecycle';
import {
  createEvidenceController,
  createQuarantineController,
} from '@gentianshunt/quarantine';
import {
  createQuotaOwnerController,
  createUsageReportController,
} from '@gentianshunt/quotas';
import {
  createEndpointListController,
  createEndpointRegistry,
  createGrantController,
  createKnownLimitController,
  createLeadershipController,
  createReceivedDemandController,
} from '@gentianshunt/setLeader';
import {createOriginController} from '@gentianshunt/streamOrigins';
import {
  createArrivalController,
  createSetUseController,
  createDemandReportingController,
  createDispatchRateController,
  createGrantReplyController,
  createGrantWaitController,
  createPauseController,
  createSlotController,
  createWithdrawalController,
} from '@gentianshunt/slotClient';

export interface EntryNodeOptions {
  readonly identity: EntryIdentity;
  readonly clock: Clock;
  /** Executes an effect; it must not throw and must not block. */
  readonly perform: (effect: EntryEffect) => void;
  /**
   * Replaces the default controllers. Tests of the invariant checkers pass
   * faulty ones.
   */
  readonly controllers?: readonly EntryController[];
}

/** The control loop of an entry. */
export type EntryNode = ControlLoop<EntrySections, EntryObservation>;

/** Lists the controllers of an entry in the order in which they run. */
export function createEntryControllers(): readonly EntryController[] {
  return [
    createServiceController(),
    createControlController(),
    createCommandController(),
    createQueryController(),
    createReplacementController(),
    createRefusalController(),
    createCountController(),
    createLeadershipController(),
    createEndpointRegistry(),
    createWithdrawalController(),
    createPauseController(),
    createEndpointOrderController(),
    createGrantReplyController(),
    createPatienceController(),
    createEvidenceController(),
    createRateController(),
    createReachController(),
    createHealthController(),
    createLimitController(),
    createQuarantineController(),
    createLifecycleController(),
    createOriginController(),
    createArrivalController(),
    createDispatchRateController(),
    createSetUseController(),
    createSlotController(),
    createDemandReportingController(),
    createGrantWaitController(),
    createLookupController(),
    createReceivedDemandController(),
    createKnownLimitController(),
    createEndpointListController(),
    createGrantController(),
    createUsageReportController(),
    createQuotaOwnerController(),
    createHeartbeatCountController(),
    createDecisionLogController(),
  ];
}

/** Creates an entry; it does nothing until an observation is posted. */
export function createEntryNode(options: EntryNodeOptions): EntryNode {
  return createControlLoop({
    sections: createEntrySections(options.identity),
    controllers: options.controllers ?? createEntryControllers(),
    clock: options.clock,
    perform: options.perform,
  });
}
