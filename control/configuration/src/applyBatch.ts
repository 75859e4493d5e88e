import {assertNever} from '@gentianshunt/errors';

import type {
  BatchResult,
  CommandRefusal,
  ConfigurationChange,
  ObjectCommand,
} from './changes.js';
import {formatObjectKey} from './objects.js';
import type {
  ConfigurationObject,
  ConfigurationTable,
  ObjectKey,
} from './objects.js';
import {listReferences, validateObject} from './validateObject.js';

/** Applies a batch to a table without changing the table. */
export function applyBatch(
  table: ConfigurationTable,
  commands: readonly ObjectCommand[],
): BatchResult {
  const draft = new Map<ObjectKey, ConfigurationObject | null>();
  for (const command of commands) {
    const refusal = applyCommand(table, draft, command);
    if (refusal !== undefined) {
      return {kind: 'refused', refusal};
    }
  }
  const refusal = checkReferences(table, draft);
  if (refusal !== undefined) {
    return {kind: 'refused', refusal};
  }
  return {kind: 'accepted', changes: [...draft].map(toChange)};
}

type Draft = Map<ObjectKey, ConfigurationObject | null>;

function toChange([key, object]: [
  ObjectKey,
  ConfigurationObject | null,
]): ConfigurationChange {
  return object === null ? {kind: 'delete', key} : {kind: 'put', object};
}

function readDraft(
  table: ConfigurationTable,
  draft: Draft,
  key: ObjectKey,
): ConfigurationObject | undefined {
  const drafted = draft.get(key);
  return drafted === undefined ? table.get(key) : (drafted ?? undefined);
}

function applyCommand(
  table: ConfigurationTable,
  draft: Draft,
  command: ObjectCommand,
): CommandRefusal | undefined {
  const key = readKey(command);
  const current = readDraft(table, draft, key);
  const revision = current?.revision ?? 0;
  if (
    command.expectedRevision !== null &&
    command.expectedRevision !== revision
  ) {
    return {
      kind: 'revisionMismatch',
      key,
      expected: command.expectedRevision,
      current: revision,
    };
  }
  switch (command.kind) {
    case 'put': {
      const reason = validateObject(command.object);
      if (reason !== undefined) {
        return {kind: 'invalidValue', key, reason};
      }
      draft.set(key, {...command.object, revision: revision + 1});
      return undefined;
    }
    case 'delete':
      if (current === undefined) {
        return {kind: 'notFound', key};
      }
      draft.set(key, null);
      return undefined;
    default:
      return assertNever(command, 'applyCommand');
  }
}

function readKey(command: ObjectCommand): ObjectKey {
  switch (command.kind) {
    case 'put':
      return formatObjectKey(command.object.kind, command.object.id);
    case 'delete':
      return command.key;
    default:
      return assertNever(command, 'readKey');
  }
}

function checkReferences(
  table: ConfigurationTable,
  draft: Draft,
): CommandRefusal | undefined {
  for (const [key, object] of draft) {
    const refusal =
      object === null
        ? checkUnreferenced(table, draft, key)
        : checkReferencesFound(table, draft, object);
    if (refusal !== undefined) {
      return refusal;
    }
  }
  return undefined;
}

function checkReferencesFound(
  table: ConfigurationTable,
  draft: Draft,
  object: ConfigurationObject,
): CommandRefusal | undefined {
  const missing = listReferences(object).find(
    reference => readDraft(table, draft, reference) === undefined,
  );
  if (missing === undefined) {
    return undefined;
  }
  const key = formatObjectKey(object.kind, object.id);
  return {kind: 'brokenReference', key, missing};
}

function checkUnreferenced(
  table: ConfigurationTable,
  draft: Draft,
  key: ObjectKey,
): CommandRefusal | undefined {
  const candidates = new Set([...table.keys(), ...draft.keys()]);
  for (const candidate of candidates) {
    const object = readDraft(table, draft, candidate);
    if (object !== undefined && listReferences(object).includes(key)) {
      return {kind: 'stillReferenced', key, by: candidate};
    }
  }
  return undefined;
}
