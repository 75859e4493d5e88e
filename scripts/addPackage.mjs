// Creates the manifest, README and folders of a new workspace package.
// Usage: node scripts/addPackage.mjs FOLDER/NAME "one-line description" [DEPENDENCY ...]
// DEPENDENCY is the short name of a workspace package, or NAME@RANGE for a
// package from the registry.
import {existsSync, mkdirSync, writeFileSync} from 'node:fs';

const [path, description, ...dependencies] = process.argv.slice(2);
if (!path || !description) {
  console.error('usage: addPackage.mjs FOLDER/NAME "description"');
  process.exit(2);
}
if (existsSync(`${path}/package.json`)) {
  console.error(`package ${path} already exists`);
  process.exit(2);
}
const name = path.split('/')[1];

function toDependency(text) {
  const at = text.lastIndexOf('@');
  return at > 0
    ? [text.slice(0, at), text.slice(at + 1)]
    : [`@gentianshunt/${text}`, '0.1.0'];
}

const manifest = {
  name: `@gentianshunt/${name}`,
  version: '0.1.0',
  private: true,
  type: 'module',
  description,
  main: 'dist/src/index.js',
  types: 'dist/src/index.d.ts',
  dependencies: Object.fromEntries(dependencies.map(toDependency)),
};
mkdirSync(`${path}/src`, {recursive: true});
mkdirSync(`${path}/test`, {recursive: true});
writeFileSync(`${path}/package.json`, JSON.stringify(manifest, null, 2) + '\n');
writeFileSync(
  `${path}/README.md`,
  `# @gentianshunt/${name}\n\n${description}\n`,
);
writeFileSync(`${path}/src/index.ts`, '');
