import type {Milliseconds} from '@gentianshunt/clock';
import {assertNever} from '@gentianshunt/errors';

import type {Deployment} from './deployment.js';
import type {FakeProcess} from './fakeProcess.js';
import type {StepContext} from './steps.js';

/** How long processes stay frozen and links cut. */
export const OUTAGE_MS: Milliseconds = 4_000;
/** Time between the end of a process and its restart. */
const RESTART_MS: Milliseconds = 500;
const DELAY_MS: Milliseconds = 2_500;
/** Delay after which later messages have overtaken a message. */
const OVERTAKEN_MS: Milliseconds = 40;
const SLOWDOWN = 20;
const BURST_CALLS = 40;

/** Whom a fault strikes, relative to the step. */
export type Target =
  | 'entry'
  | 'setLeader'
  | 'controlLeader'
  | 'controlFollower'
  | 'lastFollower'
  | 'endpoint';

/** A fault that can strike at a step. */
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

/** Finds the process that a fault strikes. */
function findTarget(
  deployment: Deployment,
  context: StepContext,
  target: Target,
): FakeProcess | undefined {
  const {entries, controls, endpoints} = deployment;
  const live = controls.filter(host => host.process.isAlive);
  switch (target) {
    case 'entry':
      return context.entry ?? entries[0]!.process;
    case 'setLeader':
      return entries.find(host =>
        [...host.node.view.leaderships.keys()].includes('drafts' as never),
      )?.process;
    case 'controlLeader':
      return live.find(host => host.node.view.role.kind === 'leader')?.process;
    case 'controlFollower':
      return (
        context.control ??
        live.find(host => host.node.view.role.kind !== 'leader')?.process
      );
    case 'lastFollower':
      return live.filter(host => host.node.view.role.kind !== 'leader').at(-1)
        ?.process;
    case 'endpoint':
      return context.endpoint ?? endpoints[0]!.process;
    default:
      return assertNever(target, 'findTarget');
  }
}

/** Lets a fault strike; tells whether there was anything to strike. */
export function strike(
  deployment: Deployment,
  context: StepContext,
  fault: Fault,
): boolean {
  if (!('target' in fault)) {
    return strikeWork(deployment, context, fault);
  }
  const process = findTarget(deployment, context, fault.target);
  if (process === undefined) {
    return false;
  }
  strikeProcess(deployment, process, fault);
  return true;
}

function strikeProcess(
  deployment: Deployment,
  process: FakeProcess,
  fault: Extract<Fault, {readonly target: Target}>,
): void {
  const {network, schedule, entries, controls} = deployment;
  switch (fault.kind) {
    case 'killed':
      kill(deployment, process);
      return;
    case 'frozen':
      process.freeze(OUTAGE_MS);
      return;
    case 'restarted':
      kill(deployment, process);
      schedule.plan(RESTART_MS, () => restart(deployment, process));
      return;
    case 'messageLost':
      network.spoilNext(process.id, {kind: 'lost'});
      return;
    case 'messageDuplicated':
      network.spoilNext(process.id, {kind: 'duplicated'});
      return;
    case 'messageDelayed':
      network.spoilNext(process.id, {kind: 'delayed', delayMs: DELAY_MS});
      return;
    case 'messageReordered':
      network.spoilNext(process.id, {kind: 'delayed', delayMs: OVERTAKEN_MS});
      return;
    case 'linkCutOneWay':
    case 'linkCutBothWays': {
      const isBoth = fault.kind === 'linkCutBothWays';
      network.cut(process.id, isBoth ? 'both' : 'outbound');
      schedule.plan(OUTAGE_MS, () => network.heal());
      return;
    }
    case 'diskLost':
      kill(deployment, process);
      controls.find(host => host.process === process)?.loseDisk();
      schedule.plan(RESTART_MS, () => restart(deployment, process));
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
      assertNever(fault, 'strikeProcess');
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
  process.revive();
  entries.find(host => host.process === process)?.start();
  controls.find(host => host.process === process)?.start();
  if (endpoints.some(host => host.process === process)) {
    deployment.announce(process.id);
  }
}

function strikeWork(
  {endpoints, callers, operators, schedule}: Deployment,
  context: StepContext,
  fault: Exclude<Fault, {readonly target: Target}>,
): boolean {
  switch (fault.kind) {
    case 'engineSlow':
      slowDown(endpoints, schedule);
      return true;
    case 'engineCut':
      endpoints.forEach(endpoint => endpoint.cutStreams());
      return true;
    case 'callerGone':
      return callers.leave(context.request ?? '');
    case 'callerResends':
      return callers.resend(context.request ?? '');
    case 'operatorsRace':
      operators.setWeight(RACED_NUMBER, 'second', 90);
      operators.setWeight(RACED_NUMBER, 'third', 91);
      return true;
    case 'burst':
      startBurst(callers);
      return true;
    default:
      return assertNever(fault, 'strikeWork');
  }
}

/** The number that the load's second command carries as well. */
export const RACED_NUMBER = 3;

function slowDown(
  endpoints: Deployment['endpoints'],
  schedule: Deployment['schedule'],
): void {
  endpoints.forEach(endpoint => endpoint.setSlowdown(SLOWDOWN));
  schedule.plan(OUTAGE_MS, () =>
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
      hangUpAfterMs: null,
    });
  }
}
