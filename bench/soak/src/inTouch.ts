import {assertNever} from '@gentianshunt/errors';

import type {LinkSpan} from './disturbances.js';
import type {RunTime} from './recordedEvent.js';
import {isMember} from './runHistory.js';
import type {MemberVm, RunHistory} from './runHistory.js';

/** A span of time, both ends included. */
interface Window {
  readonly from: RunTime;
  readonly to: RunTime;
}

/**
 * Returns whether the core is stable at a time: no event on a VM of the core or
 * on the links between them within the contact time before, and more than half
 * of the core runs and is connected.
 */
export function isCoreStable(history: RunHistory, at: RunTime): boolean {
  const window = {from: at - history.bounds.contactMs, to: at};
  const core = listCore(history, at);
  const names = new Set(core.map(({name}) => name));
  return (
    !history.vmSpans.some(
      span => isCoreVm(history, span.vm) && isStartOrEndWithin(span, window),
    ) &&
    !history.linkSpans.some(
      span => isLinkWithin(span, window) && isCoreDisturbed(span, names),
    ) &&
    core.filter(({name}) => isRunning(history, name, at)).length * 2 >
      core.length
  );
}

/** Returns whether a VM is in touch at a time. */
export function isInTouch(
  history: RunHistory,
  vm: string,
  at: RunTime,
): boolean {
  const window = {from: at - history.bounds.contactMs, to: at};
  return (
    !hasVmDisturbance(history, vm, window) &&
    isCoreStable(history, at) &&
    hasPathToCore(history, vm, window)
  );
}

/**
 * Returns whether a VM meets all conditions of a VM in touch but a stable core,
 * while more than half of the core has run since a time, connected and not
 * slowed.
 */
export function isInTouchOfMajority(
  history: RunHistory,
  vm: string,
  since: RunTime,
  at: RunTime,
): boolean {
  const window = {from: at - history.bounds.contactMs, to: at};
  const core = listCore(history, at);
  const calm = core.filter(
    ({name}) => !isMemberDisturbed(history, name, {from: since, to: at}),
  );
  return (
    !hasVmDisturbance(history, vm, window) &&
    hasPathToCore(history, vm, window) &&
    calm.length * 2 > core.length
  );
}

/** Returns whether a VM was disturbed itself, or its links slowed or reset. */
export function hasVmDisturbance(
  history: RunHistory,
  vm: string,
  window: Window,
): boolean {
  return (
    history.vmSpans.some(
      span =>
        span.vm === vm && span.from <= window.to && span.to >= window.from,
    ) ||
    history.linkSpans.some(
      span => isLinkWithin(span, window) && isOwnLinkDisturbed(span, vm),
    )
  );
}

/**
 * Returns whether a VM was disturbed itself, or its links in another way than by
 * latency.
 */
export function hasOwnFault(
  history: RunHistory,
  vm: string,
  window: Window,
): boolean {
  return (
    history.vmSpans.some(
      span =>
        span.vm === vm && span.from <= window.to && span.to >= window.from,
    ) ||
    history.linkSpans.some(
      span =>
        span.fault !== 'late' &&
        (span.fault === 'stale' || span.from === vm || span.to === vm) &&
        isLinkWithin(span, window),
    )
  );
}

/** Returns whether any VM was disturbed other than by planned work. */
export function hasUnplannedDisturbance(
  history: RunHistory,
  window: Window,
): boolean {
  return (
    history.vmSpans.some(
      span =>
        !span.isPlanned && span.from <= window.to && span.to >= window.from,
    ) || history.linkSpans.some(span => isLinkWithin(span, window))
  );
}

/** Lists the VMs of the core at a time. */
function listCore({vms}: RunHistory, at: RunTime): readonly MemberVm[] {
  const members = vms.filter(vm => isMember(vm, at));
  const withDisk = members.filter(({hasDisk}) => hasDisk);
  return withDisk.length === 0 ? members : withDisk;
}

/** Returns whether a VM belongs to the core while it is a member. */
function isCoreVm({vms}: RunHistory, name: string): boolean {
  return (
    vms.every(({hasDisk}) => !hasDisk) ||
    vms.some(vm => vm.name === name && vm.hasDisk)
  );
}

function isRunning({vmSpans}: RunHistory, vm: string, at: RunTime): boolean {
  return !vmSpans.some(
    span => span.vm === vm && span.from <= at && at < span.to,
  );
}

/** Whether a VM of the core was disturbed, or any of its links to the core. */
function isMemberDisturbed(
  history: RunHistory,
  vm: string,
  window: Window,
): boolean {
  return (
    hasVmDisturbance(history, vm, window) || !hasPathToCore(history, vm, window)
  );
}

/** The core is stable again a contact time after its last event. */
function isStartOrEndWithin(
  span: {readonly from: RunTime; readonly to: RunTime},
  {from, to}: Window,
): boolean {
  return (
    (span.from >= from && span.from <= to) || (span.to >= from && span.to <= to)
  );
}

function isCoreDisturbed(
  {from, to, fault}: LinkSpan,
  core: ReadonlySet<string>,
): boolean {
  switch (fault) {
    case 'stale':
      // Counts as a reset of the connections of all VMs.
      return true;
    case 'reset':
      return core.has(from) || core.has(to);
    case 'delayed':
    case 'late':
    case 'narrow':
    case 'silentOneWay':
    case 'cut':
      return core.has(from) && core.has(to);
    default:
      return assertNever(fault, 'isCoreDisturbed');
  }
}

/** Connections that were reset or fell silent are disturbed at that moment. */
function isLinkWithin({fault, start, end}: LinkSpan, window: Window): boolean {
  const isMoment = fault === 'reset' || fault === 'stale';
  return start <= window.to && (isMoment ? start : end) >= window.from;
}

function isOwnLinkDisturbed({from, to, fault}: LinkSpan, vm: string): boolean {
  switch (fault) {
    case 'stale':
      return true;
    case 'reset':
    case 'delayed':
    case 'late':
    case 'narrow':
      return from === vm || to === vm;
    case 'silentOneWay':
    case 'cut':
      return false;
    default:
      return assertNever(fault, 'isOwnLinkDisturbed');
  }
}

/** A path in both directions to every VM of the core that runs. */
function hasPathToCore(
  history: RunHistory,
  vm: string,
  window: Window,
): boolean {
  const core = new Set(listCore(history, window.to).map(({name}) => name));
  return !history.linkSpans.some(
    span =>
      (span.fault === 'cut' || span.fault === 'silentOneWay') &&
      isLinkWithin(span, window) &&
      ((span.from === vm && core.has(span.to)) ||
        (span.to === vm && core.has(span.from))),
  );
}
