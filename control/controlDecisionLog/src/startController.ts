import type {TurnTime, View} from '@gentianshunt/board';
import {
  createDecisionWrite,
  defineControlController,
  measureLog,
} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlObservation,
  ControlSections,
  ControlWrite,
  LogBytesBoard,
  StartProgress,
} from '@gentianshunt/controlModel';
import {isConfirmedLeader} from '@gentianshunt/entrySessions';

import {measureSnapshotBytes} from './snapshotBytes.js';

type StartReads = keyof LogBytesBoard | 'role' | 'ballot' | 'leadership';
type StartView = View<
  ControlSections,
  StartReads | 'startProgress',
  ControlObservation
>;
type StartWrite = ControlWrite<'startProgress'>;
type Started = Extract<ControlObservation, {readonly kind: 'started'}>;

/**
 * Creates the controller that records what a member read when it started, and
 * when it could answer its first confirmed read.
 */
export function createStartController(): ControlController {
  return defineControlController<StartReads | 'startProgress', 'startProgress'>(
    {
      name: 'start',
      reads: [
        'role',
        'ballot',
        'leadership',
        'applied',
        'logOffsets',
        'logStatus',
        'snapshot',
        'startProgress',
      ],
      writes: ['startProgress'],
      observes: ['started'],
      run: (view, now) => {
        const {observation} = view;
        if (observation?.kind === 'started') {
          return recordStart(view, observation, now);
        }
        const {startProgress} = view.board;
        return startProgress === null
          ? []
          : recordConfirmation(view, startProgress, now);
      },
    },
  );
}

function recordStart(
  {board}: StartView,
  {snapshot, entries}: Started,
  now: TurnTime,
): readonly StartWrite[] {
  return [
    {
      kind: 'set',
      section: 'startProgress',
      value: {startedAt: now.monotonic, confirmedTerm: 0},
    },
    createDecisionWrite({
      kind: 'logRestored',
      snapshotIndex: snapshot?.index ?? 0,
      snapshotBytes: snapshot === null ? 0 : measureSnapshotBytes(snapshot),
      entries: entries.length,
      bytes: measureLog(board).bytes,
    }),
  ];
}

function recordConfirmation(
  {board}: StartView,
  progress: StartProgress,
  now: TurnTime,
): readonly StartWrite[] {
  const {role, ballot, applied} = board;
  const isFirst =
    role.kind === 'leader' &&
    progress.confirmedTerm !== ballot.term &&
    isConfirmedLeader(board, now);
  return isFirst
    ? [
        {
          kind: 'set',
          section: 'startProgress',
          value: {...progress, confirmedTerm: ballot.term},
        },
        createDecisionWrite({
          kind: 'readsConfirmed',
          term: ballot.term,
          appliedIndex: applied.index,
          sinceElectedMs: now.monotonic - role.since,
          sinceStartMs: now.monotonic - progress.startedAt,
        }),
      ]
    : [];
}
