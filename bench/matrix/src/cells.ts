import type {Milliseconds} from '@gentianshunt/clock';

import {COMMAND_STEPS, REQUEST_STEPS} from './steps.js';
import type {Step} from './steps.js';
import type {Fault, Target} from './faults.js';

/** A fault that is injected some time after the first one of a cell. */
export interface LaterFault {
  readonly afterMs: Milliseconds;
  readonly fault: Fault;
}

/** One cell of the matrix: a fault injected at a step, and later faults. */
export interface Cell {
  readonly step: Step;
  readonly fault: Fault;
  /** Faults injected after the first one. */
  readonly laterFaults: readonly LaterFault[];
  /** Why the cell is not run; `null` if it is run. */
  readonly notCoveredReason: string | null;
}

const PROCESS_FAULTS = ['killed', 'frozen', 'restarted'] as const;
const LINK_FAULTS = ['linkCutOneWay', 'linkCutBothWays'] as const;
const MESSAGE_FAULTS = [
  'messageLost',
  'messageDuplicated',
  'messageDelayed',
  'messageReordered',
] as const;
const UNTARGETED_FAULTS = [
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

/** The process that sends the message of a step. */
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

/** Steps whose message has its own TCP connection. */
const STREAM_STEPS: ReadonlySet<Step> = new Set<Step>([
  'lookedUp',
  'dispatched',
  'firstToken',
  'middle',
  'lastToken',
  'cancelSent',
]);

/** Steps that are not part of one caller's request. */
const CALLERLESS_STEPS: ReadonlySet<Step> = new Set<Step>([
  'announced',
  'demandSent',
  'slotGranted',
  ...COMMAND_STEPS,
]);

/** Lists every cell, including those that are not run. */
export function listCells(): readonly Cell[] {
  return [
    ...REQUEST_STEPS.flatMap(step => listStepCells(step, REQUEST_TARGETS)),
    ...COMMAND_STEPS.flatMap(step => listStepCells(step, COMMAND_TARGETS)),
    ...MULTI_FAULT_CELLS,
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
    ...UNTARGETED_FAULTS.map(kind => ({kind})),
  ];
  return faults.map(fault => ({
    step,
    fault,
    laterFaults: [],
    notCoveredReason: findNotCoveredReason(step, fault),
  }));
}

function findNotCoveredReason(step: Step, fault: Fault): string | null {
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

/** Time from the first fault of a cell to its second one. */
const SECOND_FAULT_AFTER_MS: Milliseconds = 700;

function createTwoFaultCell(step: Step, fault: Fault, second: Fault): Cell {
  const laterFaults = [{afterMs: SECOND_FAULT_AFTER_MS, fault: second}];
  return {step, fault, laterFaults, notCoveredReason: null};
}

/** Combinations of faults that occur in deployments. */
const MULTI_FAULT_CELLS: readonly Cell[] = [
  createTwoFaultCell(
    'committed',
    {kind: 'linkCutBothWays', target: 'controlLeader'},
    {kind: 'operatorsRace'},
  ),
  createTwoFaultCell(
    'answered',
    {kind: 'messageLost', target: 'controlLeader'},
    {kind: 'operatorsRace'},
  ),
  createTwoFaultCell(
    'committed',
    {kind: 'diskLost', target: 'controlFollower'},
    {kind: 'killed', target: 'controlLeader'},
  ),
  createTwoFaultCell(
    'committed',
    {kind: 'restarted', target: 'controlFollower'},
    {kind: 'restarted', target: 'controlLeader'},
  ),
  createTwoFaultCell('middle', {kind: 'engineSlow'}, {kind: 'burst'}),
  createTwoFaultCell(
    'claimed',
    {kind: 'killed', target: 'entry'},
    {kind: 'killed', target: 'controlLeader'},
  ),
  createTwoFaultCell(
    'dispatched',
    {kind: 'frozen', target: 'entry'},
    {kind: 'frozen', target: 'controlLeader'},
  ),
  createTwoFaultCell(
    'middle',
    {kind: 'engineCut'},
    {kind: 'restarted', target: 'endpoint'},
  ),
  createTwoFaultCell(
    'slotGranted',
    {kind: 'linkCutBothWays', target: 'setLeader'},
    {kind: 'burst'},
  ),
  createTwoFaultCell(
    'dispatched',
    {kind: 'shutdown', target: 'entry'},
    {kind: 'engineSlow'},
  ),
  {
    // The control leader fails right after one follower has recovered from the
    // loss of its disk, while the other follower lacks changes that the leader
    // and the recovered follower had committed.
    step: 'received',
    fault: {kind: 'linkCutBothWays', target: 'controlFollower'},
    laterFaults: [
      {afterMs: 2_500, fault: {kind: 'diskLost', target: 'lastFollower'}},
      {afterMs: 2_990, fault: {kind: 'killed', target: 'controlLeader'}},
    ],
    notCoveredReason: null,
  },
];

/** Formats the printed name of a cell. */
export function formatCell({step, fault, laterFaults}: Cell): string {
  const faults = [fault, ...laterFaults.map(next => next.fault)];
  return `${step} / ${faults.map(formatFault).join(' + ')}`;
}

function formatFault(fault: Fault): string {
  return 'target' in fault ? `${fault.kind} ${fault.target}` : fault.kind;
}
