import {formatObjectKey} from '@gentianshunt/configuration';
import type {
  ConfigurationObject,
  EndpointPolicy,
  PromptPolicy,
  ObjectCommand,
  ObjectPatch,
} from '@gentianshunt/configuration';
import {assertNever} from '@gentianshunt/errors';
import {createSemanticIssue} from '@gentianshunt/grammar';
import type {
  ChangeStatement,
  LanguageIssue,
  Statement,
} from '@gentianshunt/grammar';
import {isIdentifier, toIdentifier} from '@gentianshunt/identifiers';

import {compileOrder} from './compileOrder.js';
import {findType, TYPE_SPECS} from './objectFields.js';
import type {TypeSpec} from './objectFields.js';
import {readFields} from './readFields.js';
import type {CompileResult, FieldAssignment, FieldValue} from './readFields.js';

/** Compiles statements into one batch, or returns the first error. */
export function compileCommands(
  statements: readonly Statement[],
): CompileResult<readonly ObjectCommand[]> {
  const commands: ObjectCommand[] = [];
  for (const statement of statements) {
    const compiled = compileStatement(statement);
    if (compiled.kind === 'failed') {
      return compiled;
    }
    commands.push(compiled.result);
  }
  return {kind: 'read', result: commands};
}

function compileStatement(statement: Statement): CompileResult<ObjectCommand> {
  switch (statement.kind) {
    case 'show':
    case 'help':
      return fail(
        createSemanticIssue(
          `${statement.kind} cannot be used among commands`,
          statement.position,
          [
            'create',
            'set',
            'delete',
            'drain',
            'undrain',
            'hold',
            'lift',
            'load',
            'change',
          ],
        ),
      );
    case 'load':
    case 'changeRole':
      return compileOrder(statement);
    case 'create':
    case 'set':
    case 'delete':
    case 'drain':
    case 'undrain':
    case 'hold':
    case 'lift':
      return compileChange(statement);
    default:
      return assertNever(statement, 'compileStatement');
  }
}

function fail(issue: LanguageIssue): CompileResult<never> {
  return {kind: 'failed', issue};
}

function createResult<Result>(result: Result): CompileResult<Result> {
  return {kind: 'read', result};
}

function compileChange(
  statement: ChangeStatement,
): CompileResult<ObjectCommand> {
  if (!isIdentifier(statement.id)) {
    const message = `the name ${statement.id} is too long`;
    return fail(createSemanticIssue(message, statement.position));
  }
  if (statement.kind === 'drain' || statement.kind === 'undrain') {
    return createResult(createPolicyCommand(statement, statement.kind));
  }
  if (statement.kind === 'hold' || statement.kind === 'lift') {
    return createResult(createPromptCommand(statement, statement.kind));
  }
  const type = findType(statement.type);
  if (type === undefined) {
    return fail(
      createSemanticIssue(
        `there is no type ${statement.type}`,
        statement.position,
        TYPE_SPECS.map(({name}) => name),
      ),
    );
  }
  const fields = readFields(type, statement.settings);
  return fields.kind === 'failed'
    ? fields
    : createCommand(statement, type, fields.result);
}

function createPolicyCommand(
  statement: ChangeStatement,
  kind: 'drain' | 'undrain',
): ObjectCommand {
  const object: EndpointPolicy = {
    kind: 'endpointPolicy',
    id: toIdentifier(statement.id),
    revision: 0,
    state: kind === 'drain' ? 'draining' : 'active',
  };
  return {kind: 'put', object, expectedRevision: statement.revision};
}

function createPromptCommand(
  statement: ChangeStatement,
  kind: 'hold' | 'lift',
): ObjectCommand {
  const object: PromptPolicy = {
    kind: 'promptPolicy',
    id: toIdentifier(statement.id.toLowerCase()),
    revision: 0,
    state: kind === 'hold' ? 'held' : 'lifted',
  };
  return {kind: 'put', object, expectedRevision: statement.revision};
}

function createCommand(
  statement: ChangeStatement,
  type: TypeSpec,
  fields: readonly FieldAssignment[],
): CompileResult<ObjectCommand> {
  const {id, revision} = statement;
  switch (statement.kind) {
    case 'create': {
      const issue = findCreationIssue(statement, type, fields);
      return issue === undefined
        ? createResult({
            kind: 'put',
            object: createObject(type, id, fields),
            // Revision 0 means that no such object exists, so creating never
            // overwrites one.
            expectedRevision: revision ?? 0,
          })
        : fail(issue);
    }
    case 'set': {
      const issue = findUpdateIssue(statement, type, fields);
      return issue === undefined
        ? createResult({
            kind: 'update',
            patch: createPatch(type, id, fields),
            expectedRevision: revision,
          })
        : fail(issue);
    }
    case 'delete':
      return createResult({
        kind: 'delete',
        key: formatObjectKey(type.kind, id),
        expectedRevision: revision,
      });
    case 'drain':
    case 'undrain':
      return createResult(createPolicyCommand(statement, statement.kind));
    case 'hold':
    case 'lift':
      return createResult(createPromptCommand(statement, statement.kind));
    default:
      return assertNever(statement.kind, 'createCommand');
  }
}

function findUpdateIssue(
  statement: ChangeStatement,
  type: TypeSpec,
  fields: readonly FieldAssignment[],
): LanguageIssue | undefined {
  const {position} = statement;
  if (fields.length === 0) {
    const expected = type.fields.map(({name}) => name);
    return createSemanticIssue('no field is set', position, expected);
  }
  const group = type.alternatives.find(
    names => fields.filter(({field}) => names.includes(field.name)).length > 1,
  );
  return group === undefined
    ? undefined
    : createSemanticIssue(
        `a ${type.name} can have only one of ${group.join(', ')}`,
        position,
      );
}

function findCreationIssue(
  statement: ChangeStatement,
  type: TypeSpec,
  fields: readonly FieldAssignment[],
): LanguageIssue | undefined {
  const isGiven = (name: string): boolean =>
    fields.some(({field}) => field.name === name);
  for (const group of type.alternatives) {
    if (group.filter(isGiven).length !== 1) {
      const message = `a ${type.name} needs exactly one of ${group.join(', ')}`;
      return createSemanticIssue(message, statement.position, group);
    }
  }
  const optional = new Set(type.alternatives.flat());
  const missing = type.fields.find(
    ({name, initial}) =>
      initial === undefined && !optional.has(name) && !isGiven(name),
  );
  return missing === undefined
    ? undefined
    : createSemanticIssue(
        `a ${type.name} needs ${missing.name}`,
        statement.position,
        [missing.name],
      );
}

/**
 * Builds an object from pairs of path and value. Paths have one or two names;
 * the field specs use paths that match the object types.
 */
function buildValues(
  fields: readonly (readonly [readonly string[], FieldValue])[],
): Readonly<Record<string, unknown>> {
  const values: Record<string, unknown> = {};
  for (const [[name, inner], value] of fields) {
    values[name!] =
      inner === undefined
        ? value
        : {...(values[name!] as object | undefined), [inner]: value};
  }
  return values;
}

function createObject(
  type: TypeSpec,
  id: string,
  fields: readonly FieldAssignment[],
): ConfigurationObject {
  const initial = type.fields
    .filter(field => field.initial !== undefined)
    .map(({path, initial}) => [path, initial as FieldValue] as const);
  const given = fields.map(({field, value}) => [field.path, value] as const);
  const values = buildValues([...initial, ...given]);
  return {
    kind: type.kind,
    id,
    revision: 0,
    ...addServiceKind(values),
  } as unknown as ConfigurationObject;
}

function createPatch(
  type: TypeSpec,
  id: string,
  fields: readonly FieldAssignment[],
): ObjectPatch {
  const values = buildValues(
    fields.map(({field, value}) => [field.path, value] as const),
  );
  return {
    kind: type.kind,
    id,
    fields: addServiceKind(values),
  } as unknown as ObjectPatch;
}

/** Adds the `kind` of a set's service, given by which field was set. */
function addServiceKind(
  values: Readonly<Record<string, unknown>>,
): Readonly<Record<string, unknown>> {
  const service = values['service'] as
    {readonly model?: string; readonly service?: string} | undefined;
  if (service === undefined) {
    return values;
  }
  const kind = service.model === undefined ? 'plain' : 'model';
  return {...values, service: {kind, ...service}};
}
