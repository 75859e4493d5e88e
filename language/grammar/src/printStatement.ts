import {assertNever} from '@gentianshunt/errors';

import type {
  ChangeStatement,
  Condition,
  EndpointStatement,
  Setting,
  ShowStatement,
  Statement,
  Value,
} from './syntaxTree.js';

/** Prints a statement as text that parses to the same statement. */
export function printStatement(statement: Statement): string {
  switch (statement.kind) {
    case 'show':
      return printShow(statement);
    case 'help':
      return statement.topic === null ? 'help' : `help ${statement.topic}`;
    case 'load':
    case 'changeRole':
      return printEndpointStatement(statement);
    case 'create':
    case 'set':
    case 'delete':
    case 'drain':
    case 'undrain':
    case 'hold':
    case 'lift':
      return printChange(statement);
    default:
      return assertNever(statement, 'printStatement');
  }
}

function printShow(statement: ShowStatement): string {
  const {table, where, orderBy, limit} = statement;
  return [
    `show ${table}`,
    where === null ? '' : ` where ${printCondition(where)}`,
    orderBy === null ? '' : ` order by ${orderBy.column} ${orderBy.direction}`,
    limit === null ? '' : ` limit ${limit}`,
  ].join('');
}

function printCondition(condition: Condition): string {
  switch (condition.kind) {
    case 'compare': {
      const {column, comparison, value} = condition;
      return `${column} ${comparison} ${printValue(value)}`;
    }
    case 'in':
      return `${condition.column} in (${printValues(condition.values)})`;
    case 'not':
      return `not (${printCondition(condition.condition)})`;
    case 'and':
    case 'or': {
      const {kind, left, right} = condition;
      return `(${printCondition(left)}) ${kind} (${printCondition(right)})`;
    }
    default:
      return assertNever(condition, 'printCondition');
  }
}

function printEndpointStatement(statement: EndpointStatement): string {
  const {kind, endpoint, settings} = statement;
  switch (kind) {
    case 'load':
      return `load${printSettings(settings)} on endpoint ${endpoint}`;
    case 'changeRole': {
      const role = printValues(settings[0]!.values);
      return `change role of endpoint ${endpoint} to ${role}`;
    }
    default:
      return assertNever(kind, 'printEndpointStatement');
  }
}

function printChange(statement: ChangeStatement): string {
  const {kind, type, id, settings, revision} = statement;
  const condition = revision === null ? '' : ` if revision = ${revision}`;
  return `${kind} ${type} ${id}${printSettings(settings)}${condition}`;
}

function printSettings(settings: readonly Setting[]): string {
  return settings
    .map(({field, values}) => ` ${field} ${printValues(values)}`)
    .join('');
}

function printValues(values: readonly Value[]): string {
  return values.map(printValue).join(', ');
}

function printValue(value: Value): string {
  switch (value.kind) {
    case 'number':
      return String(value.number);
    case 'word':
      return value.word;
    case 'text':
      return `"${value.text.replace(/["\\]/g, '\\$&')}"`;
    default:
      return assertNever(value, 'printValue');
  }
}
