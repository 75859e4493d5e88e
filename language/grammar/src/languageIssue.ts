import type {TextPosition} from './syntaxTree.js';

/** An error in a text, with its position. */
export interface LanguageIssue {
  readonly kind: 'syntax' | 'tooLong' | 'tooComplex' | 'meaning';
  readonly message: string;
  readonly position: TextPosition;
  /** Tokens or values allowed at the position; empty if unknown. */
  readonly expected: readonly string[];
}

/** Position of the first character of a text. */
export const TEXT_START: TextPosition = {line: 1, column: 1};

/** Creates an issue for a valid syntax with an unknown name or bad value. */
export function createSemanticIssue(
  message: string,
  position: TextPosition,
  expected: readonly string[] = [],
): LanguageIssue {
  return {kind: 'meaning', message, position, expected};
}

/** Formats an issue on one line. */
export function formatIssue(issue: LanguageIssue): string {
  const {line, column} = issue.position;
  const expected =
    issue.expected.length === 0
      ? ''
      : `; expected ${issue.expected.join(', ')}`;
  return `line ${line}, column ${column}: ${issue.message}${expected}`;
}
