import {readdir, stat} from 'node:fs/promises';
import {join} from 'node:path';

/** Measures the files of a folder, in bytes; one that is missing counts as 0. */
export async function measureFolder(path: string): Promise<number> {
  const names = await readdir(path).catch(() => []);
  const sizes = await Promise.all(
    names.map(name => measureFile(join(path, name))),
  );
  return sizes.reduce((sum, size) => sum + size, 0);
}

/** A file may be replaced while it is measured. */
async function measureFile(path: string): Promise<number> {
  try {
    return (await stat(path)).size;
  } catch {
    return 0;
  }
}
