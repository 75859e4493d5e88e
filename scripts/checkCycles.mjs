// Checks that no files of a package import each other in a circle, imports of
// types included.
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {dirname, join} from 'node:path';

import {readPackages} from './workspace.mjs';

const RELATIVE_IMPORT = /\bfrom '(\.[^']+)'|^import '(\.[^']+)'/gm;

const files = readPackages().flatMap(({path}) => [
  ...listSources(join(path, 'src')),
  ...listSources(join(path, 'test')),
]);
const importsByFile = new Map(files.map(file => [file, listImports(file)]));
const cycles = findCycles(importsByFile);
for (const cycle of cycles) {
  console.error(`circle of imports: ${cycle.join(' -> ')}`);
}
process.exitCode = cycles.length > 0 ? 1 : 0;

function listSources(folder) {
  return existsSync(folder)
    ? readdirSync(folder, {recursive: true})
        .filter(name => name.endsWith('.ts'))
        .map(name => join(folder, name))
    : [];
}

function listImports(file) {
  const matches = readFileSync(file, 'utf8').matchAll(RELATIVE_IMPORT);
  return Array.from(matches, ([, from, sideEffect]) =>
    join(dirname(file), from ?? sideEffect).replace(/\.js$/, '.ts'),
  );
}

/** Finds a circle for each import that leads back to a file on its path. */
function findCycles(imports) {
  const finished = new Set();
  const path = [];
  const found = [];
  const visit = file => {
    const start = path.indexOf(file);
    if (start >= 0) {
      found.push([...path.slice(start), file]);
      return;
    }
    if (finished.has(file)) {
      return;
    }
    path.push(file);
    (imports.get(file) ?? []).forEach(visit);
    path.pop();
    finished.add(file);
  };
  [...imports.keys()].forEach(visit);
  return found;
}
