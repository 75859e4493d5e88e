import type {Finding} from './finding.js';
import {listEvents} from './listEvents.js';
import type {RunHistory} from './runHistory.js';
import {RECOVER_MS} from './soakBounds.js';

const OK_STATUS = 200;
/** Fraction of the calls that have to be served after the final fault. */
const MIN_SERVED_FRACTION = 0.25;
/** Fewer calls say nothing of the fraction. */
const MIN_CALLS = 8;

/**
 * Checks that probe calls of the route that every version has are served again
 * from the recovery time after the final fault on, if they were before.
 */
export function checkRecovery(history: RunHistory): readonly Finding[] {
  const [injected] = listEvents(history.events, 'finalFaultInjected');
  if (injected === undefined) {
    return [];
  }
  const backAt = listEvents(history.events, 'vmStarted').reduce(
    (latest, {at}) => Math.max(latest, at),
    injected.at,
  );
  const due = backAt + RECOVER_MS;
  const calls = history.configuration.probes.filter(
    ({target}) => target.kind === 'fixedRoute',
  );
  const before = calls.filter(({endedAt}) => endedAt < injected.at);
  const after = calls.filter(({sentAt}) => sentAt >= due);
  const served = countServed(after);
  const isServed = served >= after.length * MIN_SERVED_FRACTION;
  const wasServed = countServed(before) >= before.length * MIN_SERVED_FRACTION;
  if (after.length < MIN_CALLS || isServed || !wasServed) {
    return [];
  }
  return [
    {
      check: 'recovery',
      at: due,
      detail: `${served} of ${after.length} calls were served that were sent later than ${RECOVER_MS} ms after the VMs were back`,
      excuse: null,
    },
  ];
}

function countServed(calls: readonly {readonly status: number}[]): number {
  return calls.filter(({status}) => status === OK_STATUS).length;
}
