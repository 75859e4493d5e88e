// Creates the files every workspace package has.
// Usage: node scripts/addPackage.mjs FOLDER/NAME "one-line description"
import {existsSync, mkdirSync, writeFileSync} from 'node:fs';

const [path, description] = process.argv.slice(2);
if (!path || !description) {
  console.error('usage: addPackage.mjs FOLDER/NAME "description"');
  process.exit(2);
}
if (existsSync(`${path}/package.json`)) {
  console.error(`${path} exists already`);
  process.exit(2);
}
const name = path.split('/')[1];
const manifest = {
  name: `@gentianshunt/${name}`,
  version: '0.1.0',
  private: true,
  type: 'module',
  description,
  main: 'dist/src/index.js',
  types: 'dist/src/index.d.ts',
  dependencies: {},
};
mkdirSync(`${path}/src`, {recursive: true});
mkdirSync(`${path}/test`, {recursive: true});
writeFileSync(`${path}/package.json`, JSON.stringify(manifest, null, 2) + '\n');
writeFileSync(
  `${path}/README.md`,
  `# @gentianshunt/${name}\n\n${description}\n`,
);
writeFileSync(`${path}/src/index.ts`, '');
