import type {Milliseconds} from '@gentianshunt/clock';
import {assertNever} from '@gentianshunt/errors';

import type {Deployment} from './deployment.js';
import type {FakeProcess} from './fakeProcess.js';
import type {StepContext} from './steps.js';

/** Time for which a freeze, partition or slowdown lasts. */
export const OUTAGE_MS: Milliseconds = 4_000;
/** Time between the end of a process and its restart. */
const RESTART_MS: Milliseconds = 500;
const MESSAGE_DELAY_MS: Milliseconds = 2_500;
/** Delay of a message that lets later messages of its sender overtake it. */
const REORDER_DELAY_MS: Milliseconds = 40;
const SLOWDOWN_FACTOR = 20;
const BURST_CALLS = 40;

/** The process that a fault affects, in relation to the step. */
export type Target =
  | 'entry'
  | 'setLeader'
  | 'controlLeader'
  | 'controlFollower'
  | 'lastFollower'
  | 'endpoint';

/** A fault that can be injected at a step. */
export type Fault =
  | {readonly kind: 'killed'; readonly target: Target}
  | {readonly kind: 'frozen'; readonly target: Target}
  | {readonly kind: 'restarted'; readonly target: Target}
  | {readonly kind: 'messageLost'; readonly target: Target}
  | {readonly kind: 'messageDuplicated'; readonly target: Target}
  | {readonly kind: 'messageDelayed'; readonly target: Target}
  | {readonly kind: 'messageReordered'; readonly target: Target}
  | {readonly kind: 'linkCutOneWay'; readonly target: Target}
  | {readonly kind: 'linkCutBothWays'; readonly target: Target}
  | {readonly kind: 'diskLost'; readonly target: Target}
  | {readonly kind: 'syncFailed'; readonly target: Target}
  | {readonly kind: 'shutdown'; readonly target: Target}
  | {readonly kind: 'engineSlow'}
  | {readonly kind: 'engineCut'}
  | {readonly kind: 'callerGone'}
  | {readonly kind: 'callerResends'}
  | {readonly kind: 'operatorsRace'}
  | {readonly kind: 'burst'};

/** Finds the process that a fault affects. */
function findTarget(
  deployment: Deployment,
  context: StepContext,
  target: Target,
): FakeProcess | undefined {
  const {entries, controls, endpoints} = deployment;
  const aliveControls = controls.filter(host => host.process.isAlive);
  switch (target) {
    case 'entry':
      return context.entry ?? entries[0]!.process;
    case 'setLeader':
      return entries.find(host =>
        [...host.node.view.leaderships.keys()].includes('drafts' as never),
      )?.process;
    case 'controlLeader':
      return aliveControls.find(host => host.node.view.role.kind === 'leader')
        ?.process;
    case 'controlFollower':
      return (
        context.control ??
        aliveControls.find(host => host.node.view.role.kind !== 'leader')
          ?.process
      );
    case 'lastFollower':
      return aliveControls
        .filter(host => host.node.view.role.kind !== 'leader')
        .at(-1)?.process;
    case 'endpoint':
      return context.endpoint ?? endpoints[0]!.process;
    default:
      return assertNever(target, 'findTarget');
  }
}

/** Injects a fault; returns whether there was something to inject it into. */
export function injectFault(
  deployment: Deployment,
  context: StepContext,
  fault: Fault,
): boolean {
  if (!('target' in fault)) {
    return injectUntargetedFault(deployment, context, fault);
  }
  const process = findTarget(deployment, context, fault.target);
  if (process === undefined) {
    return false;
  }
  injectProcessFault(deployment, process, fault);
  return true;
}

function injectProcessFault(
  deployment: Deployment,
  process: FakeProcess,
  fault: Extract<Fault, {readonly target: Target}>,
): void {
  const {network, scheduler, entries, controls} = deployment;
  switch (fault.kind) {
    case 'killed':
      kill(deployment, process);
      return;
    case 'frozen':
      process.freeze(OUTAGE_MS);
      return;
    case 'restarted':
      kill(deployment, process);
      scheduler.schedule(RESTART_MS, () => restart(deployment, process));
      return;
    case 'messageLost':
      network.injectMessageFault(process.id, {kind: 'lost'});
      return;
    case 'messageDuplicated':
      network.injectMessageFault(process.id, {kind: 'duplicated'});
      return;
    case 'messageDelayed':
      network.injectMessageFault(process.id, {
        kind: 'delayed',
        delayMs: MESSAGE_DELAY_MS,
      });
      return;
    case 'messageReordered':
      network.injectMessageFault(process.id, {
        kind: 'delayed',
        delayMs: REORDER_DELAY_MS,
      });
      return;
    case 'linkCutOneWay':
    case 'linkCutBothWays': {
      const isBoth = fault.kind === 'linkCutBothWays';
      network.partition(process.id, isBoth ? 'both' : 'outbound');
      scheduler.schedule(OUTAGE_MS, () => network.heal());
      return;
    }
    case 'diskLost':
      kill(deployment, process);
      controls.find(host => host.process === process)?.loseDisk();
      scheduler.schedule(RESTART_MS, () => restart(deployment, process));
      return;
    case 'syncFailed':
      controls.find(host => host.process === process)?.failSync();
      return;
    case 'shutdown':
      entries
        .find(host => host.process === process)
        ?.post({kind: 'shutdownRequested'});
      return;
    default:
      assertNever(fault, 'injectProcessFault');
  }
}

function kill(deployment: Deployment, process: FakeProcess): void {
  const {entries, endpoints} = deployment;
  const host =
    entries.find(host => host.process === process) ??
    endpoints.find(host => host.process === process);
  if (host === undefined) {
    process.kill();
  } else {
    host.kill();
  }
}

function restart(deployment: Deployment, process: FakeProcess): void {
  const {entries, controls, endpoints} = deployment;
  if (process.isAlive) {
    return;
  }
  process.restart();
  entries.find(host => host.process === process)?.start();
  controls.find(host => host.process === process)?.start();
  if (endpoints.some(host => host.process === process)) {
    deployment.announce(process.id);
  }
}

function injectUntargetedFault(
  {endpoints, callers, operators, scheduler}: Deployment,
  context: StepContext,
  fault: Exclude<Fault, {readonly target: Target}>,
): boolean {
  switch (fault.kind) {
    case 'engineSlow':
      slowDown(endpoints, scheduler);
      return true;
    case 'engineCut':
      endpoints.forEach(endpoint => endpoint.breakStreams());
      return true;
    case 'callerGone':
      return callers.disconnect(context.request ?? '');
    case 'callerResends':
      return callers.resend(context.request ?? '');
    case 'operatorsRace':
      operators.setWeight(RACED_COMMAND_NUMBER, 'second', 90);
      operators.setWeight(RACED_COMMAND_NUMBER, 'third', 91);
      return true;
    case 'burst':
      startBurst(callers);
      return true;
    default:
      return assertNever(fault, 'injectUntargetedFault');
  }
}

/**
 * Number of the second weight command of the load. The racing operators send
 * other commands under the same number.
 */
export const RACED_COMMAND_NUMBER = 3;

function slowDown(
  endpoints: Deployment['endpoints'],
  scheduler: Deployment['scheduler'],
): void {
  endpoints.forEach(endpoint => endpoint.setSlowdown(SLOWDOWN_FACTOR));
  scheduler.schedule(OUTAGE_MS, () =>
    endpoints.forEach(endpoint => endpoint.setSlowdown(1)),
  );
}

function startBurst(callers: Deployment['callers']): void {
  for (let index = 0; index < BURST_CALLS; index += 1) {
    callers.start({
      name: `burst${index}`,
      key: null,
      tier: index % 2 === 0 ? 'gold' : 'bronze',
      tokens: 8,
      disconnectAfterMs: null,
    });
  }
}
