import type {TextPosition} from './syntaxTree.js';

/** What is wrong with a text and where. */
export interface LanguageIssue {
  readonly kind: 'syntax' | 'tooLong' | 'tooComplex' | 'meaning';
  readonly message: string;
  readonly position: TextPosition;
  /** What could stand at the position, if that is known. */
  readonly expected: readonly string[];
}

/** Where a text begins. */
export const TEXT_START: TextPosition = {line: 1, column: 1};

/** Creates an issue with a name or value that is not understood. */
export function createMeaningIssue(
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
