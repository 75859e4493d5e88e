import {parse, SyntaxError as ParserError} from './generated/parser.js';
import {TEXT_START} from './languageIssue.js';
import type {LanguageIssue} from './languageIssue.js';
import type {Condition, Statement, TextPosition} from './syntaxTree.js';

/** Maximum length of a text, in characters. */
export const MAX_TEXT_LENGTH = 256 * 1024;
/** Maximum number of conditions in one query, nested ones included. */
export const MAX_CONDITIONS = 200;

/** The statements of a text, or its first error. */
export type ParseResult =
  | {readonly kind: 'parsed'; readonly statements: readonly Statement[]}
  | {readonly kind: 'failed'; readonly issue: LanguageIssue};

/** Parses a text. Errors in the text are returned, never thrown. */
export function parseText(text: string): ParseResult {
  if (text.length > MAX_TEXT_LENGTH) {
    const message = `the text is longer than ${MAX_TEXT_LENGTH} characters`;
    return createFailure('tooLong', message);
  }
  try {
    // With a trailing space, an error at the end of the text lists what may
    // follow a space as expected.
    const statements = parse(`${text}\n`, {}) as readonly Statement[];
    return statements.some(isTooComplex)
      ? createFailure(
          'tooComplex',
          `the query has more than ${MAX_CONDITIONS} conditions`,
        )
      : {kind: 'parsed', statements};
  } catch (error) {
    // The parser recurses for each parenthesis and `not`; deep nesting
    // overflows the call stack.
    return error instanceof RangeError
      ? createFailure('tooComplex', 'conditions are nested too deeply')
      : {kind: 'failed', issue: toSyntaxIssue(text, error)};
  }
}

function createFailure(
  kind: LanguageIssue['kind'],
  message: string,
): ParseResult {
  const issue = {kind, message, position: TEXT_START, expected: []};
  return {kind: 'failed', issue};
}

/**
 * Returns whether a query has too many conditions. Uses a list instead of
 * recursion, because a long query makes a deep tree.
 */
function isTooComplex(statement: Statement): boolean {
  if (statement.kind !== 'show' || statement.where === null) {
    return false;
  }
  const pending: Condition[] = [statement.where];
  let count = 0;
  for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
    count += 1;
    if (next.kind === 'and' || next.kind === 'or') {
      pending.push(next.left, next.right);
    } else if (next.kind === 'not') {
      pending.push(next.condition);
    }
  }
  return count > MAX_CONDITIONS;
}

interface Expectation {
  readonly type: string;
  readonly text?: string;
  readonly description?: string;
}

interface ParserFailure extends Error {
  readonly expected: readonly Expectation[] | null;
  readonly location: {readonly start: {readonly offset: number}};
}

function toSyntaxIssue(text: string, error: unknown): LanguageIssue {
  if (!(error instanceof ParserError)) {
    throw error;
  }
  const {expected, location} = error as unknown as ParserFailure;
  const offset = Math.min(location.start.offset, text.trimEnd().length);
  const character = text[offset];
  const found =
    character === undefined ? 'end of text' : JSON.stringify(character);
  return {
    kind: 'syntax',
    message: `unexpected ${found}`,
    position: findPosition(text, offset),
    expected: listExpected(expected ?? []),
  };
}

function findPosition(text: string, offset: number): TextPosition {
  const lines = text.slice(0, offset).split('\n');
  return {line: lines.length, column: lines.at(-1)!.length + 1};
}

function listExpected(expected: readonly Expectation[]): readonly string[] {
  const names = expected
    .map(describeExpectation)
    .filter(name => name !== undefined)
    .filter(name => name !== 'space');
  return [...new Set(names)].sort();
}

function describeExpectation(expectation: Expectation): string | undefined {
  switch (expectation.type) {
    case 'literal':
      return expectation.text;
    case 'other':
      return expectation.description;
    case 'end':
      return 'end of text';
    default:
      return undefined;
  }
}
