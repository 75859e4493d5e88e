import {applyBatch, formatObjectKey} from '@gentianshunt/configuration';
import {MAX_COMMAND_GAP} from '@gentianshunt/controlModel';
import type {ConfigurationChange} from '@gentianshunt/configuration';
import type {CommandRecord} from '@gentianshunt/controlModel';
import type {LogEntry, LogPayload} from '@gentianshunt/messages';

import {changeConfiguration} from './changeConfiguration.js';
import {addChangeUsage, removeChangeUsage} from './changeUsage.js';
import type {StateDraft} from './stateDraft.js';

/** Maximum number of stored commands; lower numbers are refused. */
export const MAX_COMMANDS = 10_000;
/** Maximum number of changes in the answers of all stored commands. */
export const MAX_COMMAND_CHANGES = 100_000;
/** Maximum size of the changes in the answers of all stored commands, in bytes. */
export const MAX_COMMAND_BYTES = 4 * 1_024 * 1_024;

type CommandPayload = Extract<LogPayload, {readonly kind: 'command'}>;
type AssignPayload = Extract<LogPayload, {readonly kind: 'assignSetLeader'}>;

/**
 * Applies an operator's command and stores its answer. A number identifies one
 * command; the first committed command with that number wins.
 */
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
  const record: CommandRecord = {
    operator,
    digest,
    answer: {kind: 'applied', number, version: entry.index, result},
  };
  draft.commands.put(number, record);
  addChangeUsage(draft, 'commands', listAnswerChanges(record));
  draft.nextCommand = Math.max(draft.nextCommand, number + 1);
  removeOldestCommands(draft);
}

/**
 * Removes the oldest commands beyond the limits. The floor rises above their
 * numbers, so that a resent command does not run twice.
 */
function removeOldestCommands(draft: StateDraft): void {
  while (
    draft.commands.size > MAX_COMMANDS ||
    draft.changeUsage.commands > MAX_COMMAND_CHANGES ||
    (draft.changeBytes.commands > MAX_COMMAND_BYTES && draft.commands.size > 1)
  ) {
    const [lowest] = draft.commands.iterateFrom();
    draft.commands.delete(lowest!.key);
    removeChangeUsage(draft, 'commands', listAnswerChanges(lowest!.value));
    draft.commandFloor = lowest!.key + 1;
  }
}

function listAnswerChanges({
  answer,
}: CommandRecord): readonly ConfigurationChange[] {
  return answer.kind === 'applied' && answer.result.kind === 'accepted'
    ? answer.result.changes
    : [];
}

/** Assigns a leader with a new epoch to a set. */
export function assignSetLeader(
  draft: StateDraft,
  entry: LogEntry,
  payload: AssignPayload,
): void {
  const {set, node} = payload;
  const isExisting =
    draft.configuration.get(formatObjectKey('endpointSet', set)) !== undefined;
  if (!isExisting) {
    return;
  }
  const key = formatObjectKey('setLeadership', set);
  const current = draft.configuration.get(key);
  if (current?.kind === 'setLeadership' && current.node === node) {
    return;
  }
  // The log index makes epochs unique even if a set is deleted and recreated.
  const epoch = entry.index;
  changeConfiguration(draft, entry, [
    {
      kind: 'put',
      object: {kind: 'setLeadership', id: set, revision: epoch, node, epoch},
    },
  ]);
}
