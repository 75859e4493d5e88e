import {parse, SyntaxError as ParserError} from './generated/parser.js';
import {TEXT_START} from './languageIssue.js';
import type {LanguageIssue} from './languageIssue.js';
import type {Condition, Statement, TextPosition} from './syntaxTree.js';

/** Longest text that is read, in characters. */
export const MAX_TEXT_LENGTH = 256 * 1024;
/** Most conditions of one query. */
export const MAX_CONDITIONS = 200;

/** What reading a text gives. */
export type ParseResult =
  | {readonly kind: 'parsed'; readonly statements: readonly Statement[]}
  | {readonly kind: 'failed'; readonly issue: LanguageIssue};

/** Reads a text; whatever it holds, nothing is thrown. */
export function parseText(text: string): ParseResult {
  if (text.length > MAX_TEXT_LENGTH) {
    const message = `the text is longer than ${MAX_TEXT_LENGTH} characters`;
    return createFailure('tooLong', message);
  }
  try {
    // A last space makes the end of the text expect what follows a space.
    const statements = parse(`${text}\n`, {}) as readonly Statement[];
    return statements.some(isTooComplex)
      ? createFailure('tooComplex', `more than ${MAX_CONDITIONS} conditions`)
      : {kind: 'parsed', statements};
  } catch (error) {
    // The parser recurses once for each parenthesis.
    return error instanceof RangeError
      ? createFailure('tooComplex', 'conditions are nested too deeply')
      : {kind: 'failed', issue: toIssue(text, error)};
  }
}

function createFailure(
  kind: LanguageIssue['kind'],
  message: string,
): ParseResult {
  const issue = {kind, message, position: TEXT_START, expected: []};
  return {kind: 'failed', issue};
}

/** Counts without recursion: a long query makes a deep tree. */
function isTooComplex(statement: Statement): boolean {
  if (statement.kind !== 'show' || statement.where === null) {
    return false;
  }
  const open: Condition[] = [statement.where];
  let count = 0;
  for (let next = open.pop(); next !== undefined; next = open.pop()) {
    count += 1;
    if (next.kind === 'and' || next.kind === 'or') {
      open.push(next.left, next.right);
    } else if (next.kind === 'not') {
      open.push(next.condition);
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

function toIssue(text: string, error: unknown): LanguageIssue {
  if (!(error instanceof ParserError)) {
    throw error;
  }
  const {expected, location} = error as unknown as ParserFailure;
  const offset = Math.min(location.start.offset, text.trimEnd().length);
  const found = text[offset];
  const what =
    found === undefined ? 'the end of the text' : JSON.stringify(found);
  return {
    kind: 'syntax',
    message: `${what} does not fit here`,
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
    .map(toName)
    .filter(name => name !== undefined)
    .filter(name => name !== 'space');
  return [...new Set(names)].sort();
}

function toName(expectation: Expectation): string | undefined {
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
