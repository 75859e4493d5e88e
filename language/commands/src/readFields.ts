import {assertNever} from '@gentianshunt/errors';
import {createMeaningIssue} from '@gentianshunt/grammar';
import type {LanguageIssue, Setting, Value} from '@gentianshunt/grammar';
import {isIdentifier} from '@gentianshunt/identifiers';

import type {FieldForm, FieldSpec, TypeSpec} from './objectFields.js';

/** A value of a field. */
export type FieldValue = number | boolean | string | readonly string[] | null;

/** A field and the value given to it. */
export interface FieldAssignment {
  readonly field: FieldSpec;
  readonly value: FieldValue;
}

/** What reading gives: a value or what is wrong. */
export type Outcome<Result> =
  | {readonly kind: 'read'; readonly result: Result}
  | {readonly kind: 'failed'; readonly issue: LanguageIssue};

/** Reads the settings of a command by the fields of its type. */
export function readFields(
  type: Pick<TypeSpec, 'name' | 'fields'>,
  settings: readonly Setting[],
): Outcome<readonly FieldAssignment[]> {
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
    const value = readValue(field.form, setting.values);
    if (value === undefined) {
      return fail(setting, `${field.name} has a wrong value`, [
        describeForm(field.form),
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
): Outcome<never> {
  const issue = createMeaningIssue(message, setting.position, expected);
  return {kind: 'failed', issue};
}

function describeForm(form: FieldForm): string {
  switch (form.kind) {
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
      return assertNever(form, 'describeForm');
  }
}

function readValue(
  form: FieldForm,
  values: readonly Value[],
): FieldValue | undefined {
  if (form.kind === 'identifiers') {
    const words = values.map(readWord);
    const isRead = words.every(word => word !== undefined);
    return isRead ? words : undefined;
  }
  return values.length === 1 ? readSingle(form, values[0]!) : undefined;
}

function readSingle(
  form: Exclude<FieldForm, {readonly kind: 'identifiers'}>,
  value: Value,
): FieldValue | undefined {
  switch (form.kind) {
    case 'number':
      return value.kind === 'number' ? value.number : undefined;
    case 'limit':
      return value.kind === 'word' && value.word === 'none'
        ? null
        : readSingle({kind: 'number'}, value);
    case 'boolean':
      return value.kind === 'word' ? readBoolean(value.word) : undefined;
    case 'identifier':
      return readWord(value);
    case 'text':
      return readText(value);
    default:
      return assertNever(form, 'readSingle');
  }
}

function readBoolean(word: string): boolean | undefined {
  return word === 'true' ? true : word === 'false' ? false : undefined;
}

/** Identifiers may look like numbers, such as the tier `1`. */
function readWord(value: Value): string | undefined {
  const text = readText(value);
  return text !== undefined && isIdentifier(text) ? text : undefined;
}

function readText(value: Value): string {
  switch (value.kind) {
    case 'number':
      return String(value.number);
    case 'word':
      return value.word;
    case 'text':
      return value.text;
    default:
      return assertNever(value, 'readText');
  }
}
