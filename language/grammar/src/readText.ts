import {assertNever} from '@gentianshunt/errors';

import type {Value} from './syntaxTree.js';

/** Returns a value as text, without the quotes that the source may have. */
export function readText(value: Value): string {
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
