// Writes every tsconfig.json from the dependencies in package.json, so that
// an import of an undeclared workspace package fails to compile.
// With --check it writes nothing and fails if a file is out of date.
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import {relative} from 'node:path';

import {readPackages} from './workspace.mjs';

const isCheck = process.argv.includes('--check');
const packages = readPackages();
const pathByName = new Map(packages.map(p => [p.manifest.name, p.path]));
let staleCount = 0;

function writeIfChanged(file, value) {
  const text = JSON.stringify(value, null, 2) + '\n';
  const current = existsSync(file) ? readFileSync(file, 'utf8') : '';
  if (
    JSON.stringify(current ? JSON.parse(current) : null) ===
    JSON.stringify(value)
  ) {
    return;
  }
  staleCount += 1;
  console.error(`${isCheck ? 'out of date' : 'wrote'}: ${file}`);
  if (!isCheck) {
    writeFileSync(file, text);
  }
}

for (const {path, manifest} of packages) {
  const names = Object.keys({
    ...manifest.dependencies,
    ...manifest.devDependencies,
  });
  writeIfChanged(`${path}/tsconfig.json`, {
    extends: '../../tsconfig.base.json',
    compilerOptions: {rootDir: '.', outDir: 'dist'},
    include: ['src', 'test'],
    references: names
      .filter(name => pathByName.has(name))
      .sort()
      .map(name => ({path: relative(path, pathByName.get(name))})),
  });
}
writeIfChanged('tsconfig.json', {
  files: [],
  references: packages.map(p => ({path: p.path})),
});
process.exitCode = isCheck && staleCount > 0 ? 1 : 0;
