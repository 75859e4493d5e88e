import {assertNever} from '@gentianshunt/errors';
import {createSemanticIssue, readText} from '@gentianshunt/grammar';
import type {
  Comparison,
  Condition,
  LanguageIssue,
  Ordering,
  ShowStatement,
  TextPosition,
  Value,
} from '@gentianshunt/grammar';

import type {Cell, Column} from './table.js';

/** Maximum number of rows in a result; `limit` can only lower it. */
export const MAX_ROWS = 10_000;

/** The rows that a query selected. */
export interface QueryResult {
  readonly table: string;
  readonly columns: readonly Column[];
  readonly rows: readonly (readonly Cell[])[];
  /** Number of selected rows beyond the limit. */
  readonly omitted: number;
}

/** The rows of a query, or its first error. */
export type QueryOutcome =
  | {readonly kind: 'selected'; readonly result: QueryResult}
  | {readonly kind: 'failed'; readonly issue: LanguageIssue};

export interface RunQueryOptions {
  readonly statement: ShowStatement;
  readonly columns: readonly Column[];
  readonly rows: readonly (readonly Cell[])[];
}

type Row = readonly Cell[];
type RowPredicate = (row: Row) => boolean;

/** Applies the condition, ordering and limit of a query to rows. */
export function runQuery(options: RunQueryOptions): QueryOutcome {
  const {statement, columns, rows} = options;
  const issues: LanguageIssue[] = [];
  const test = compileCondition(columns, statement.where, issues);
  const compare = compileOrdering(columns, statement.orderBy, issues);
  if (issues[0] !== undefined) {
    return {kind: 'failed', issue: issues[0]};
  }
  const selected = rows.filter(test);
  const ordered = compare === null ? selected : [...selected].sort(compare);
  const limit = Math.min(statement.limit ?? MAX_ROWS, MAX_ROWS);
  const result: QueryResult = {
    table: statement.table,
    columns,
    rows: ordered.slice(0, limit),
    omitted: Math.max(0, ordered.length - limit),
  };
  return {kind: 'selected', result};
}

function compileCondition(
  columns: readonly Column[],
  condition: Condition | null,
  issues: LanguageIssue[],
): RowPredicate {
  if (condition === null) {
    return () => true;
  }
  switch (condition.kind) {
    case 'compare':
      return compileComparison(columns, condition, issues);
    case 'in':
      return compileMembership(columns, condition, issues);
    case 'not': {
      const test = compileCondition(columns, condition.condition, issues);
      return row => !test(row);
    }
    case 'and':
    case 'or':
      return compileLogicalCondition(columns, condition, issues);
    default:
      return assertNever(condition, 'compileCondition');
  }
}

function compileLogicalCondition(
  columns: readonly Column[],
  condition: Extract<Condition, {readonly kind: 'and' | 'or'}>,
  issues: LanguageIssue[],
): RowPredicate {
  const left = compileCondition(columns, condition.left, issues);
  const right = compileCondition(columns, condition.right, issues);
  return condition.kind === 'and'
    ? row => left(row) && right(row)
    : row => left(row) || right(row);
}

function compileComparison(
  columns: readonly Column[],
  condition: Extract<Condition, {readonly kind: 'compare'}>,
  issues: LanguageIssue[],
): RowPredicate {
  const {column: name, comparison, value, position} = condition;
  const index = findColumn(columns, name, position, issues);
  const column = columns[index];
  if (column === undefined) {
    return () => false;
  }
  const cell = toCell(column, value, position, issues);
  return row => isComparisonTrue(row[index]!, comparison, cell);
}

function compileMembership(
  columns: readonly Column[],
  condition: Extract<Condition, {readonly kind: 'in'}>,
  issues: LanguageIssue[],
): RowPredicate {
  const {column: name, values, position} = condition;
  const index = findColumn(columns, name, position, issues);
  const column = columns[index];
  if (column === undefined) {
    return () => false;
  }
  const cells = new Set(
    values.map(value => toCell(column, value, position, issues)),
  );
  return row => cells.has(row[index]!);
}

function findColumn(
  columns: readonly Column[],
  name: string,
  position: TextPosition,
  issues: LanguageIssue[],
): number {
  const index = columns.findIndex(column => column.name === name);
  if (index < 0) {
    const names = columns.map(column => column.name);
    const message = `there is no column ${name}`;
    issues.push(createSemanticIssue(message, position, names));
  }
  return index;
}

/** Converts a value to the type of its column; `none` becomes `null`. */
function toCell(
  column: Column,
  value: Value,
  position: TextPosition,
  issues: LanguageIssue[],
): Cell {
  if (value.kind === 'word' && value.word === 'none') {
    return null;
  }
  const cell = readCell(column, value);
  if (cell === undefined) {
    const message = `${column.name} must be compared with a ${column.form}`;
    issues.push(createSemanticIssue(message, position, [column.form]));
    return null;
  }
  return cell;
}

function readCell(column: Column, value: Value): Cell | undefined {
  const text = readText(value);
  switch (column.form) {
    case 'text':
      return text;
    case 'number':
      return value.kind === 'number' ? value.number : undefined;
    case 'boolean':
      return text === 'true' ? true : text === 'false' ? false : undefined;
    default:
      return assertNever(column.form, 'readCell');
  }
}

function isComparisonTrue(
  left: Cell,
  comparison: Comparison,
  right: Cell,
): boolean {
  if (comparison === '=' || comparison === '!=') {
    return (left === right) === (comparison === '=');
  }
  // A missing value is neither less nor greater than any other.
  if (left === null || right === null) {
    return false;
  }
  switch (comparison) {
    case '<':
      return left < right;
    case '<=':
      return left <= right;
    case '>':
      return left > right;
    case '>=':
      return left >= right;
    default:
      return assertNever(comparison, 'isComparisonTrue');
  }
}

function compileOrdering(
  columns: readonly Column[],
  ordering: Ordering | null,
  issues: LanguageIssue[],
): ((left: Row, right: Row) => number) | null {
  if (ordering === null) {
    return null;
  }
  const {column, direction, position} = ordering;
  const index = findColumn(columns, column, position, issues);
  const sign = direction === 'asc' ? 1 : -1;
  return (left, right) => sign * compareForOrder(left[index]!, right[index]!);
}

/** Orders two cells; missing values come first in ascending order. */
function compareForOrder(left: Cell, right: Cell): number {
  if (left === right) {
    return 0;
  }
  if (left === null || right === null) {
    return left === null ? -1 : 1;
  }
  return left < right ? -1 : 1;
}
