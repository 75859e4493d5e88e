import {findNewestBefore} from './configurationHistory.js';
import type {ProbeHistory} from './configurationHistory.js';
import type {Finding} from './finding.js';
import {isInTouch} from './inTouch.js';
import type {RunHistory} from './runHistory.js';

/** Fewer calls on added routes say nothing. */
const MIN_CALLS = 20;
/** Added routes must be served this much as often as the first ones. */
const MIN_SERVED_RATIO = 0.25;

/**
 * Checks that VMs in touch serve calls on routes that were added later nearly as
 * often as calls on a route of all versions.
 */
export function checkAddedRoutes(history: RunHistory): readonly Finding[] {
  const calls = history.configuration.probes.filter(
    ({vm, sentAt, endedAt}) =>
      isInTouch(history, vm, sentAt) && isInTouch(history, vm, endedAt),
  );
  const first = calls.filter(({target}) => target.kind === 'fixedRoute');
  const added = calls.filter(probe => hasAddedRoute(history, probe));
  const last = added.at(-1);
  const isServedEnough =
    computeServed(added) >= computeServed(first) * MIN_SERVED_RATIO;
  return last === undefined || added.length < MIN_CALLS || isServedEnough
    ? []
    : [
        {
          check: 'addedRoutes',
          at: last.endedAt,
          detail: `calls on added routes were served ${formatServed(added)} times, on a route of all versions ${formatServed(first)} times`,
          excuse: null,
        },
      ];
}

/** Whether all versions that may be in force have the route of a call. */
function hasAddedRoute(
  {configuration, bounds}: RunHistory,
  {target, sentAt, endedAt}: ProbeHistory,
): boolean {
  const due = findNewestBefore(configuration, sentAt - bounds.configApplyMs);
  return (
    target.kind === 'extraRoute' &&
    due !== undefined &&
    configuration.versions
      .filter(
        ({version, sentAt: changedAt}) =>
          version >= due.version && changedAt <= endedAt,
      )
      .every(({content}) => content.extraRoutes.includes(target.index))
  );
}

function computeServed(calls: readonly ProbeHistory[]): number {
  return calls.length === 0 ? 0 : countServed(calls) / calls.length;
}

function countServed(calls: readonly ProbeHistory[]): number {
  return calls.filter(({status}) => status === 200).length;
}

function formatServed(calls: readonly ProbeHistory[]): string {
  return `${countServed(calls)} of ${calls.length}`;
}
