// Derives every tsconfig.json from the dependencies in package.json, so that
// an import of an undeclared workspace package fails to compile.
// With --check it writes nothing and fails when a file is out of date.
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import {relative} from 'node:path';

import {readPackages} from './workspace.mjs';

const check = process.argv.includes('--check');
const packages = readPackages();
const pathByName = new Map(packages.map(p => [p.manifest.name, p.path]));
let stale = 0;

function sync(file, value) {
  const text = JSON.stringify(value, null, 2) + '\n';
  const current = existsSync(file) ? readFileSync(file, 'utf8') : '';
  if (
    JSON.stringify(current ? JSON.parse(current) : null) ===
    JSON.stringify(value)
  ) {
    return;
  }
  stale += 1;
  console.error(`${check ? 'out of date' : 'wrote'}: ${file}`);
  if (!check) {
    writeFileSync(file, text);
  }
}

for (const {path, manifest} of packages) {
  const names = Object.keys({
    ...manifest.dependencies,
    ...manifest.devDependencies,
  });
  sync(`${path}/tsconfig.json`, {
    extends: '../../tsconfig.base.json',
    compilerOptions: {rootDir: '.', outDir: 'dist'},
    include: ['src', 'test'],
    references: names
      .filter(name => pathByName.has(name))
      .sort()
      .map(name => ({path: relative(path, pathByName.get(name))})),
  });
}
sync('tsconfig.json', {
  files: [],
  references: packages.map(p => ({path: p.path})),
});
process.exitCode = check && stale > 0 ? 1 : 0;
