import {isLeaveKnowledgeCurrent} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  Dispatch,
  WithholdCause,
} from '@gentianshunt/entryModel';
import {findQuarantineRefusal} from '@gentianshunt/quarantine';

import type {OpenCall} from './callTable.js';
import type {EndpointStreamOptions} from './endpointStreamOptions.js';

/** Finds a reason why a dispatched call must not be sent any more. */
export function findWithholdCause(
  {clock, view}: EndpointStreamOptions,
  {response, dueAt}: OpenCall,
  request: AdmittedRequest,
  {target}: Dispatch,
): WithholdCause | undefined {
  if (response.destroyed) {
    return 'callerGone';
  }
  if (view.withdrawnEndpoints.has(target.endpoint)) {
    return 'endpointLeft';
  }
  const now = clock.readMonotonic();
  const turn = {monotonic: now, wall: clock.readWallTime()};
  if (!isLeaveKnowledgeCurrent(view, turn)) {
    return 'leavesUnknown';
  }
  if ((view.pausedEndpoints.get(target.endpoint) ?? now) > now) {
    return 'endpointPaused';
  }
  const {configuration, quarantines, requests, identity} = view;
  const self = identity.address.node;
  const query = {configuration, quarantines, requests, self, now};
  const refusal = findQuarantineRefusal(query, request);
  if (refusal !== undefined) {
    return refusal.reason.kind;
  }
  return dueAt <= now ? 'timeLimit' : undefined;
}
