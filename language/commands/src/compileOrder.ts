import type {ObjectCommand} from '@gentianshunt/configuration';
import {assertNever} from '@gentianshunt/errors';
import {createMeaningIssue} from '@gentianshunt/grammar';
import type {EndpointStatement} from '@gentianshunt/grammar';
import {isIdentifier, toIdentifier} from '@gentianshunt/identifiers';
import type {EndpointDirective} from '@gentianshunt/orders';

import type {TypeSpec} from './objectFields.js';
import {readFields} from './readFields.js';
import type {FieldAssignment, Outcome} from './readFields.js';

const LOAD: Pick<TypeSpec, 'name' | 'fields'> = {
  name: 'load',
  fields: ['model', 'adapter', 'version'].map(name => ({
    name,
    path: [name],
    form: {kind: 'text'},
    help: `${name} to be loaded`,
  })),
};

const CHANGE_ROLE: Pick<TypeSpec, 'name' | 'fields'> = {
  name: 'change of role',
  fields: [
    {
      name: 'role',
      path: ['role'],
      form: {kind: 'identifier'},
      help: 'new role',
    },
  ],
};

/** Turns an order to an endpoint into a step of a batch. */
export function compileOrder(
  statement: EndpointStatement,
): Outcome<ObjectCommand> {
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
        : `${endpoint} is too long for a name`;
    return {kind: 'failed', issue: createMeaningIssue(message, position)};
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
  const read = (name: string): string | null => {
    const found = fields.find(({field}) => field.name === name);
    return found === undefined ? null : String(found.value);
  };
  switch (kind) {
    case 'load': {
      const model = read('model');
      return model === null
        ? undefined
        : {kind, model, adapter: read('adapter'), version: read('version')};
    }
    case 'changeRole':
      return {kind, role: read('role')!};
    default:
      return assertNever(kind, 'createDirective');
  }
}
