import type {Test} from 'tap';

import {formatCell, listCells, runCell} from '../src/index.js';
import type {Step} from '../src/index.js';

/**
 * Runs every cell of the given steps. No cell may violate an invariant, leave a
 * caller waiting, or answer no caller at all.
 */
export function checkCells(t: Test, steps: readonly Step[]): void {
  for (const cell of listCells()) {
    if (!steps.includes(cell.step)) {
      continue;
    }
    const result = runCell(cell);
    const name = formatCell(cell);
    if (result.kind === 'run') {
      t.strictSame(result.violations, [], name);
      t.strictSame(result.openRequests, [], `${name} leaves no caller waiting`);
      t.ok(result.answered > 0, `${name} answers callers`);
    }
  }
}
