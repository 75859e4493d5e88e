import {assertNever} from '@gentianshunt/errors';

import {findNewestBefore} from './configurationHistory.js';
import type {VersionHistory} from './configurationHistory.js';
import {formatTime} from './finding.js';
import type {Finding} from './finding.js';
import {listEvents} from './listEvents.js';
import type {FinalFault, Hindrance, RunTime} from './recordedEvent.js';
import {isMember} from './runHistory.js';
import type {RunHistory} from './runHistory.js';
import {RECOVER_MS} from './soakBounds.js';

/** Contact times until VMs are in touch after most of the core was ended. */
const CONTACT_TIMES_AFTER_CORE = 2;

/**
 * Checks that every VM gives back the newest acknowledged configuration as it
 * was sent, or a newer one, soon after the VMs are back from the final fault.
 */
export function checkReadBack(history: RunHistory): readonly Finding[] {
  const [injected] = listEvents(history.events, 'finalFaultInjected');
  if (injected === undefined) {
    return [];
  }
  const newest = findNewestBefore(history.configuration, injected.at + 1);
  if (newest === undefined) {
    return [];
  }
  const backAt = findReturn(history, injected.at);
  return history.vms
    .filter(vm => isMember(vm, injected.at))
    .flatMap(({name}) => {
      const allowedMs = computeAllowedTime(history, injected.fault, name);
      return checkVm(history, name, newest, backAt, allowedMs);
    });
}

function checkVm(
  history: RunHistory,
  vm: string,
  newest: VersionHistory,
  backAt: RunTime,
  allowedMs: number,
): readonly Finding[] {
  const digests = new Map(
    history.configuration.versions.map(({version, digest}) => [
      version,
      digest,
    ]),
  );
  const first = listEvents(history.events, 'configurationRead').find(
    read =>
      read.vm === vm &&
      read.sentAt >= backAt &&
      read.version !== null &&
      read.version >= newest.version &&
      digests.get(read.version) === read.digest,
  );
  const afterMs = (first?.at ?? Infinity) - backAt;
  if (afterMs <= allowedMs) {
    return [];
  }
  const seen =
    first === undefined ? 'never' : `first ${afterMs} ms after the VMs were`;
  return [
    {
      check: 'readBack',
      at: backAt + allowedMs,
      detail: `${vm} did not give back version ${newest.version} within ${allowedMs} ms after the VMs were back at ${formatTime(backAt)}; ${seen}`,
      excuse: null,
    },
  ];
}

/** The time at which the last VM that the fault ended started again. */
function findReturn({events}: RunHistory, injectedAt: RunTime): RunTime {
  return listEvents(events, 'vmStarted')
    .filter(({at, cause}) => at >= injectedAt && cause === 'scheduled')
    .reduce((latest, {at}) => Math.max(latest, at), injectedAt);
}

/** Computes the time in which a VM has to give the configuration back. */
function computeAllowedTime(
  {bounds}: RunHistory,
  fault: FinalFault,
  vm: string,
): number {
  switch (fault.kind) {
    case 'allKilled':
      return isHindered(fault.hindrance, vm)
        ? RECOVER_MS
        : CONTACT_TIMES_AFTER_CORE * bounds.contactMs;
    case 'diskLost':
      return bounds.contactMs;
    default:
      return assertNever(fault, 'computeAllowedTime');
  }
}

function isHindered(hindrance: Hindrance, vm: string): boolean {
  switch (hindrance.kind) {
    case 'none':
      return false;
    case 'standStill':
      return true;
    case 'slowLinks':
      return hindrance.vm === vm;
    default:
      return assertNever(hindrance, 'isHindered');
  }
}
