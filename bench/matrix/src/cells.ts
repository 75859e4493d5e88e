import type {Milliseconds} from '@gentianshunt/clock';

import {COMMAND_STEPS, REQUEST_STEPS} from './steps.js';
import type {Step} from './steps.js';
import type {Fault, Target} from './faults.js';

/** A fault that follows the first one of a cell. */
export interface LaterFault {
  readonly afterMs: Milliseconds;
  readonly fault: Fault;
}

/** One cell of the matrix. */
export interface Cell {
  readonly step: Step;
  readonly fault: Fault;
  /** Faults on top of the first. */
  readonly later: readonly LaterFault[];
  /** Why the cell cannot apply; `null` when it is run. */
  readonly notCovered: string | null;
}

const PROCESS_FAULTS = ['killed', 'frozen', 'restarted'] as const;
const LINK_FAULTS = ['linkCutOneWay', 'linkCutBothWays'] as const;
const MESSAGE_FAULTS = [
  'messageLost',
  'messageDuplicated',
  'messageDelayed',
  'messageReordered',
] as const;
const WORK_FAULTS = [
  'engineSlow',
  'engineCut',
  'callerGone',
  'callerResends',
  'operatorsRace',
] as const;

const REQUEST_TARGETS: readonly Target[] = [
  'entry',
  'setLeader',
  'controlLeader',
  'endpoint',
];
const COMMAND_TARGETS: readonly Target[] = [
  'entry',
  'controlLeader',
  'controlFollower',
];

/** Who sends the message that a step is about. */
const SENDERS: Readonly<Record<Step, Target>> = {
  announced: 'endpoint',
  lookedUp: 'entry',
  accepted: 'entry',
  demandSent: 'entry',
  slotGranted: 'setLeader',
  claimed: 'entry',
  dispatched: 'entry',
  firstToken: 'endpoint',
  middle: 'endpoint',
  lastToken: 'endpoint',
  endMark: 'entry',
  cancelSent: 'entry',
  counted: 'entry',
  received: 'entry',
  appended: 'controlLeader',
  committed: 'controlLeader',
  applied: 'controlFollower',
  answered: 'controlLeader',
  inForce: 'controlLeader',
};

/** Steps whose message travels on a TCP connection of its own. */
const STREAM_STEPS: ReadonlySet<Step> = new Set<Step>([
  'lookedUp',
  'dispatched',
  'firstToken',
  'middle',
  'lastToken',
  'cancelSent',
]);

/** Steps that belong to no single request of a caller. */
const CALLERLESS_STEPS: ReadonlySet<Step> = new Set<Step>([
  'announced',
  'demandSent',
  'slotGranted',
  ...COMMAND_STEPS,
]);

/** Lists every cell, those that cannot apply included. */
export function listCells(): readonly Cell[] {
  return [
    ...REQUEST_STEPS.flatMap(step => listStepCells(step, REQUEST_TARGETS)),
    ...COMMAND_STEPS.flatMap(step => listStepCells(step, COMMAND_TARGETS)),
    ...PAIRS,
  ];
}

function listStepCells(
  step: Step,
  targets: readonly Target[],
): readonly Cell[] {
  const processFaults = targets.flatMap(target =>
    [...PROCESS_FAULTS, ...LINK_FAULTS].map(kind => ({kind, target})),
  );
  const target = SENDERS[step];
  const faults: readonly Fault[] = [
    ...processFaults,
    ...MESSAGE_FAULTS.map(kind => ({kind, target})),
    {kind: 'diskLost', target: 'controlLeader'},
    {kind: 'diskLost', target: 'controlFollower'},
    {kind: 'syncFailed', target: 'controlLeader'},
    {kind: 'syncFailed', target: 'controlFollower'},
    {kind: 'shutdown', target: 'entry'},
    {kind: 'shutdown', target: 'setLeader'},
    ...WORK_FAULTS.map(kind => ({kind})),
  ];
  return faults.map(fault => ({
    step,
    fault,
    later: [],
    notCovered: findReason(step, fault),
  }));
}

function findReason(step: Step, fault: Fault): string | null {
  const {kind} = fault;
  if (
    (kind === 'messageDuplicated' || kind === 'messageReordered') &&
    STREAM_STEPS.has(step)
  ) {
    return 'TCP neither repeats nor reorders within a connection';
  }
  if (
    (kind === 'callerGone' || kind === 'callerResends') &&
    CALLERLESS_STEPS.has(step)
  ) {
    return 'the step belongs to no single caller';
  }
  return null;
}

/** Time from the first fault to the one on top of it. */
const SECOND_FAULT_AFTER_MS: Milliseconds = 700;

function createPair(step: Step, fault: Fault, second: Fault): Cell {
  const later = [{afterMs: SECOND_FAULT_AFTER_MS, fault: second}];
  return {step, fault, later, notCovered: null};
}

/** Second faults on top of first ones, as the deployments meet them. */
const PAIRS: readonly Cell[] = [
  createPair(
    'committed',
    {kind: 'linkCutBothWays', target: 'controlLeader'},
    {kind: 'operatorsRace'},
  ),
  createPair(
    'answered',
    {kind: 'messageLost', target: 'controlLeader'},
    {kind: 'operatorsRace'},
  ),
  createPair(
    'committed',
    {kind: 'diskLost', target: 'controlFollower'},
    {kind: 'killed', target: 'controlLeader'},
  ),
  createPair(
    'committed',
    {kind: 'restarted', target: 'controlFollower'},
    {kind: 'restarted', target: 'controlLeader'},
  ),
  createPair('middle', {kind: 'engineSlow'}, {kind: 'burst'}),
  createPair(
    'claimed',
    {kind: 'killed', target: 'entry'},
    {kind: 'killed', target: 'controlLeader'},
  ),
  createPair(
    'dispatched',
    {kind: 'frozen', target: 'entry'},
    {kind: 'frozen', target: 'controlLeader'},
  ),
  createPair(
    'middle',
    {kind: 'engineCut'},
    {kind: 'restarted', target: 'endpoint'},
  ),
  createPair(
    'slotGranted',
    {kind: 'linkCutBothWays', target: 'setLeader'},
    {kind: 'burst'},
  ),
  createPair(
    'dispatched',
    {kind: 'shutdown', target: 'entry'},
    {kind: 'engineSlow'},
  ),
  {
    // The leader dies right after the repair of one follower, while the other
    // has missed what the leader and the repaired one had committed.
    step: 'received',
    fault: {kind: 'linkCutBothWays', target: 'controlFollower'},
    later: [
      {afterMs: 2_500, fault: {kind: 'diskLost', target: 'lastFollower'}},
      {afterMs: 2_990, fault: {kind: 'killed', target: 'controlLeader'}},
    ],
    notCovered: null,
  },
];

/** Names a cell. */
export function formatCell({step, fault, later}: Cell): string {
  const faults = [fault, ...later.map(next => next.fault)];
  return `${step} / ${faults.map(formatFault).join(' + ')}`;
}

function formatFault(fault: Fault): string {
  return 'target' in fault ? `${fault.kind} ${fault.target}` : fault.kind;
}
