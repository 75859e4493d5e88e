import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  CommandProgress,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  PendingCommand,
} from '@gentianshunt/entryModel';
import type {ControlToEntry, EntryToControl} from '@gentianshunt/messages';
import type {NodeId, RequestId} from '@gentianshunt/identifiers';

import {
  isSendingDue,
  isTick,
  listUnsent,
  planCommandResend,
  recordDelivery,
} from './delivery.js';
import type {ResendOptions} from './delivery.js';

/** Time after which the entry stops tracking a command or a query. */
export const COMMAND_TIMEOUT_MS: Milliseconds = 10_000;

type CommandReads = 'control' | 'commands';
type CommandView = View<EntrySections, CommandReads, EntryObservation>;
type CommandWrite = EntryWrite<'commands'>;

/**
 * Creates the controller that forwards operators' commands to the leading
 * control daemon and reports their progress.
 */
export function createCommandController(): EntryController {
  return defineEntryController<CommandReads, 'commands'>({
    name: 'commands',
    reads: ['control', 'commands'],
    writes: ['commands'],
    observes: ['commandReceived', 'controlMessage', 'timerDue'],
    run: (view, now) => [
      ...handleObservation(view, now),
      ...listUnsent(view, view.board.commands.values()).flatMap(pending =>
        sendPending(view, pending, now),
      ),
    ],
  });
}

function handleObservation(
  view: CommandView,
  now: TurnTime,
): readonly CommandWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'commandReceived': {
      const {correlation, command} = observation;
      const pending: PendingCommand = {
        correlation,
        receivedAt: now.monotonic,
        command,
        version: null,
        delivery: null,
      };
      return [putCommand(pending), ...sendPending(view, pending, now)];
    }
    case 'controlMessage':
      return handleReply(view, observation.message, now);
    case 'timerDue':
      return isTick(view) ? resendPending(view, now) : [];
    default:
      return [];
  }
}

function putCommand(pending: PendingCommand): CommandWrite {
  return {
    kind: 'put',
    section: 'commands',
    key: pending.correlation,
    value: pending,
  };
}

function removeCommand(correlation: RequestId): CommandWrite {
  return {kind: 'delete', section: 'commands', key: correlation};
}

function answerOperator(
  correlation: RequestId,
  progress: CommandProgress,
): CommandWrite {
  return {
    kind: 'effect',
    effect: {kind: 'answerOperator', correlation, progress},
  };
}

/** Sends a command, or asks whether it is in force once it is accepted. */
function sendPending(
  view: CommandView,
  pending: PendingCommand,
  now: TurnTime,
): readonly CommandWrite[] {
  const {control} = view.board;
  const {leader} = control;
  if (leader === null) {
    return [];
  }
  const {correlation, version} = pending;
  return version === null
    ? sendCommand(pending, leader, planCommandResend(control), now)
    : [sendTo(leader, {kind: 'commandStatusRequest', correlation, version})];
}

/** Sends a command unless the leader got it a short time ago. */
function sendCommand(
  pending: PendingCommand,
  leader: NodeId,
  resend: ResendOptions,
  now: TurnTime,
): readonly CommandWrite[] {
  const {correlation, command, delivery} = pending;
  if (!isSendingDue(delivery, leader, now, resend)) {
    return [];
  }
  return [
    putCommand({...pending, delivery: recordDelivery(delivery, leader, now)}),
    sendTo(leader, {kind: 'commandRequest', correlation, command}),
  ];
}

function sendTo(to: NodeId, message: EntryToControl): CommandWrite {
  return {kind: 'effect', effect: {kind: 'sendControl', to, message}};
}

/** Resending a command is safe, as its number identifies it. */
function resendPending(
  view: CommandView,
  now: TurnTime,
): readonly CommandWrite[] {
  const writes: CommandWrite[] = [];
  for (const pending of view.board.commands.values()) {
    const ageMs = now.monotonic - pending.receivedAt;
    writes.push(
      ...(ageMs > COMMAND_TIMEOUT_MS
        ? [removeCommand(pending.correlation)]
        : sendPending(view, pending, now)),
    );
  }
  return writes;
}

function handleReply(
  view: CommandView,
  reply: ControlToEntry,
  now: TurnTime,
): readonly CommandWrite[] {
  switch (reply.kind) {
    case 'commandReply':
      return handleAnswer(view, reply, now);
    case 'commandStatusReply':
      return handleStatus(view, reply);
    default:
      return [];
  }
}

function handleAnswer(
  view: CommandView,
  message: Extract<ControlToEntry, {readonly kind: 'commandReply'}>,
  now: TurnTime,
): readonly CommandWrite[] {
  const {correlation, answer} = message;
  const pending = view.board.commands.get(correlation);
  if (pending === undefined || pending.version !== null) {
    return [];
  }
  const accepted =
    answer.kind === 'applied' && answer.result.kind === 'accepted';
  const next = accepted ? {...pending, version: answer.version} : null;
  return [
    answerOperator(correlation, {kind: 'answered', answer}),
    ...(next === null
      ? [removeCommand(correlation)]
      : [putCommand(next), ...sendPending(view, next, now)]),
  ];
}

function handleStatus(
  view: CommandView,
  message: Extract<ControlToEntry, {readonly kind: 'commandStatusReply'}>,
): readonly CommandWrite[] {
  const {correlation, status} = message;
  if (!view.board.commands.has(correlation)) {
    return [];
  }
  return [
    answerOperator(correlation, {kind: 'force', status}),
    ...(status.isInForce ? [removeCommand(correlation)] : []),
  ];
}
