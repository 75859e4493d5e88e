import {applyBatch, formatObjectKey} from '@gentianshunt/configuration';
import {MAX_COMMAND_GAP} from '@gentianshunt/controlModel';
import type {LogEntry, LogPayload} from '@gentianshunt/messages';

import {changeConfiguration} from './changeConfiguration.js';
import type {StateDraft} from './stateDraft.js';

/** Most command numbers remembered; lower ones are refused. */
export const MAX_COMMANDS = 10_000;

type CommandPayload = Extract<LogPayload, {readonly kind: 'command'}>;
type AssignPayload = Extract<LogPayload, {readonly kind: 'assignSetLeader'}>;

/** A number names one command; the first to be committed wins. */
export function applyCommand(
  draft: StateDraft,
  entry: LogEntry,
  payload: CommandPayload,
): void {
  const {number, operator, digest, commands} = payload.command;
  const isUsable =
    number >= draft.commandFloor &&
    number < draft.nextCommand + MAX_COMMAND_GAP &&
    draft.commands.get(number) === undefined;
  if (!isUsable) {
    return;
  }
  const result = applyBatch({
    lookup: draft.configuration,
    commands,
    setsInUse: payload.setsInUse,
  });
  if (result.kind === 'accepted') {
    changeConfiguration(draft, entry, result.changes);
  }
  draft.commands.put(number, {
    operator,
    digest,
    answer: {kind: 'applied', number, version: entry.index, result},
  });
  draft.nextCommand = Math.max(draft.nextCommand, number + 1);
  forgetCommands(draft);
}

/** Raises the floor past what is forgotten, so that nothing runs again. */
function forgetCommands(draft: StateDraft): void {
  while (draft.commands.size > MAX_COMMANDS) {
    const [lowest] = draft.commands.iterateFrom();
    draft.commands.delete(lowest!.key);
    draft.commandFloor = lowest!.key + 1;
  }
}

/** Gives a set a leader with a new epoch. */
export function assignSetLeader(
  draft: StateDraft,
  entry: LogEntry,
  payload: AssignPayload,
): void {
  const {set, node} = payload;
  const isKnown =
    draft.configuration.get(formatObjectKey('endpointSet', set)) !== undefined;
  if (!isKnown) {
    return;
  }
  const key = formatObjectKey('setLeadership', set);
  const current = draft.configuration.get(key);
  if (current?.kind === 'setLeadership' && current.node === node) {
    return;
  }
  // Epochs never repeat, also when a set is deleted and created again.
  const epoch = entry.index;
  changeConfiguration(draft, entry, [
    {
      kind: 'put',
      object: {kind: 'setLeadership', id: set, revision: epoch, node, epoch},
    },
  ]);
}
