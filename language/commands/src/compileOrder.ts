import type {ObjectCommand} from '@gentianshunt/configuration';
import {assertNever} from '@gentianshunt/errors';
import {createSemanticIssue} from '@gentianshunt/grammar';
import type {EndpointStatement} from '@gentianshunt/grammar';
import {isIdentifier, toIdentifier} from '@gentianshunt/identifiers';
import type {EndpointDirective} from '@gentianshunt/orders';

import type {TypeSpec} from './objectFields.js';
import {readFields} from './readFields.js';
import type {CompileResult, FieldAssignment} from './readFields.js';

const LOAD: Pick<TypeSpec, 'name' | 'fields'> = {
  name: 'load',
  fields: ['model', 'adapter', 'version'].map(name => ({
    name,
    path: [name],
    valueType: {kind: 'text'},
    help: `${name} to load`,
  })),
};

const CHANGE_ROLE: Pick<TypeSpec, 'name' | 'fields'> = {
  name: 'role change',
  fields: [
    {
      name: 'role',
      path: ['role'],
      valueType: {kind: 'identifier'},
      help: 'new role',
    },
  ],
};

/** Compiles a statement that gives an endpoint an order into a command. */
export function compileOrder(
  statement: EndpointStatement,
): CompileResult<ObjectCommand> {
  const {endpoint, position, settings} = statement;
  const spec = statement.kind === 'load' ? LOAD : CHANGE_ROLE;
  const fields = readFields(spec, settings);
  if (fields.kind === 'failed') {
    return fields;
  }
  const directive = createDirective(statement.kind, fields.result);
  if (directive === undefined || !isIdentifier(endpoint)) {
    const message =
      directive === undefined
        ? 'a load needs a model'
        : `the name ${endpoint} is too long`;
    return {kind: 'failed', issue: createSemanticIssue(message, position)};
  }
  return {
    kind: 'read',
    result: {
      kind: 'order',
      endpoint: toIdentifier(endpoint),
      directive,
      expectedRevision: null,
    },
  };
}

function createDirective(
  kind: EndpointStatement['kind'],
  fields: readonly FieldAssignment[],
): EndpointDirective | undefined {
  const findValue = (name: string): string | null => {
    const found = fields.find(({field}) => field.name === name);
    return found === undefined ? null : String(found.value);
  };
  switch (kind) {
    case 'load': {
      const model = findValue('model');
      return model === null
        ? undefined
        : {
            kind,
            model,
            adapter: findValue('adapter'),
            version: findValue('version'),
          };
    }
    case 'changeRole':
      return {kind, role: findValue('role')!};
    default:
      return assertNever(kind, 'createDirective');
  }
}
