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
import type {RequestId} from '@gentianshunt/identifiers';

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
    run: (view, now) => handleObservation(view, now),
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
      };
      return [putCommand(pending), ...sendPending(view, pending)];
    }
    case 'controlMessage':
      return handleReply(view, observation.message);
    case 'timerDue':
      return observation.timer.kind === 'housekeeping'
        ? resendPending(view, now)
        : [];
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
): readonly CommandWrite[] {
  const {leader} = view.board.control;
  if (leader === null) {
    return [];
  }
  const {correlation, command, version} = pending;
  const message: EntryToControl =
    version === null
      ? {kind: 'commandRequest', correlation, command}
      : {kind: 'commandStatusRequest', correlation, version};
  return [{kind: 'effect', effect: {kind: 'sendControl', to: leader, message}}];
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
        : sendPending(view, pending)),
    );
  }
  return writes;
}

function handleReply(
  view: CommandView,
  reply: ControlToEntry,
): readonly CommandWrite[] {
  switch (reply.kind) {
    case 'commandReply':
      return handleAnswer(view, reply);
    case 'commandStatusReply':
      return handleStatus(view, reply);
    default:
      return [];
  }
}

function handleAnswer(
  view: CommandView,
  message: Extract<ControlToEntry, {readonly kind: 'commandReply'}>,
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
      : [putCommand(next), ...sendPending(view, next)]),
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
