import {readdirSync, statSync} from 'node:fs';
import {join} from 'node:path';

/** Measures the files of a folder, in bytes; files that vanish count nothing. */
export function measureFolder(folder: string): number {
  return readdirSync(folder, {withFileTypes: true})
    .map(entry => {
      const path = join(folder, entry.name);
      return entry.isDirectory() ? measureFolder(path) : measureFile(path);
    })
    .reduce((sum, bytes) => sum + bytes, 0);
}

function measureFile(path: string): number {
  return statSync(path, {throwIfNoEntry: false})?.size ?? 0;
}
