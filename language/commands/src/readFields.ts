import {assertNever} from '@gentianshunt/errors';
import {createSemanticIssue, readText} from '@gentianshunt/grammar';
import type {LanguageIssue, Setting, Value} from '@gentianshunt/grammar';
import {isIdentifier} from '@gentianshunt/identifiers';

import type {FieldSpec, TypeSpec, ValueType} from './objectFields.js';

/** Maximum length of a text value, in characters. */
export const MAX_VALUE_LENGTH = 256;

/** A value of a field. */
export type FieldValue = number | boolean | string | readonly string[] | null;

/** A field and the value assigned to it. */
export interface FieldAssignment {
  readonly field: FieldSpec;
  readonly value: FieldValue;
}

/** A compiled result, or the first error. */
export type CompileResult<Result> =
  | {readonly kind: 'read'; readonly result: Result}
  | {readonly kind: 'failed'; readonly issue: LanguageIssue};

/** Converts the settings of a command to values of the type's fields. */
export function readFields(
  type: Pick<TypeSpec, 'name' | 'fields'>,
  settings: readonly Setting[],
): CompileResult<readonly FieldAssignment[]> {
  const assignments: FieldAssignment[] = [];
  for (const setting of settings) {
    const field = type.fields.find(({name}) => name === setting.field);
    if (field === undefined) {
      return fail(
        setting,
        `a ${type.name} has no field ${setting.field}`,
        type.fields.map(({name}) => name),
      );
    }
    if (assignments.some(assignment => assignment.field === field)) {
      return fail(setting, `${field.name} is given twice`);
    }
    const value = readValue(field.valueType, setting.values);
    if (value === undefined) {
      return fail(setting, `invalid value for ${field.name}`, [
        describeValueType(field.valueType),
      ]);
    }
    assignments.push({field, value});
  }
  return {kind: 'read', result: assignments};
}

function fail(
  setting: Setting,
  message: string,
  expected: readonly string[] = [],
): CompileResult<never> {
  const issue = createSemanticIssue(message, setting.position, expected);
  return {kind: 'failed', issue};
}

function describeValueType(valueType: ValueType): string {
  switch (valueType.kind) {
    case 'number':
      return 'number';
    case 'limit':
      return 'number or none';
    case 'boolean':
      return 'true or false';
    case 'identifier':
      return 'word';
    case 'identifiers':
      return 'words separated by commas';
    case 'text':
      return 'word or quoted text';
    default:
      return assertNever(valueType, 'describeValueType');
  }
}

function readValue(
  valueType: ValueType,
  values: readonly Value[],
): FieldValue | undefined {
  if (valueType.kind === 'identifiers') {
    const words = values.map(readWord);
    const isValid = words.every(word => word !== undefined);
    return isValid ? words : undefined;
  }
  return values.length === 1
    ? readSingleValue(valueType, values[0]!)
    : undefined;
}

function readSingleValue(
  valueType: Exclude<ValueType, {readonly kind: 'identifiers'}>,
  value: Value,
): FieldValue | undefined {
  switch (valueType.kind) {
    case 'number':
      return value.kind === 'number' ? value.number : undefined;
    case 'limit':
      return value.kind === 'word' && value.word === 'none'
        ? null
        : readSingleValue({kind: 'number'}, value);
    case 'boolean':
      return value.kind === 'word' ? readBoolean(value.word) : undefined;
    case 'identifier':
      return readWord(value);
    case 'text': {
      const text = readText(value);
      return text.length <= MAX_VALUE_LENGTH ? text : undefined;
    }
    default:
      return assertNever(valueType, 'readSingleValue');
  }
}

function readBoolean(word: string): boolean | undefined {
  return word === 'true' ? true : word === 'false' ? false : undefined;
}

/** Also accepts numbers, because identifiers may be digits: tier `1`. */
function readWord(value: Value): string | undefined {
  const text = readText(value);
  return text !== undefined && isIdentifier(text) ? text : undefined;
}
