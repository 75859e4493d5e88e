/** Writes what was sent, answered and run to `record.txt` of a case. */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';

export function createRecord(folder) {
  const startedAt = Date.now();
  const lines = [];
  return {
    write: text =>
      lines.push(
        `${((Date.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${text}`,
      ),
    save: () =>
      writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`),
  };
}
