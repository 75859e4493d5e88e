// Checks that a package depends only on folders it may know.
import {readPackages} from './workspace.mjs';

const ALLOWED = {
  core: ['core'],
  control: ['core', 'control'],
  scheduling: ['core', 'control', 'scheduling'],
  language: ['core', 'control', 'scheduling', 'language'],
  transport: ['core', 'transport'],
  storage: ['core', 'control', 'transport', 'storage'],
  reports: ['core', 'control', 'scheduling', 'reports'],
  fronts: [
    'core',
    'control',
    'scheduling',
    'language',
    'transport',
    'reports',
    'fronts',
  ],
  standins: ['core', 'standins'],
};

const packages = readPackages();
const folderByName = new Map(
  packages.map(({path, manifest}) => [manifest.name, path.split('/')[0]]),
);
let wrong = 0;
for (const {path, manifest} of packages) {
  const allowed = ALLOWED[path.split('/')[0]];
  for (const name of Object.keys(manifest.dependencies ?? {})) {
    const folder = folderByName.get(name);
    if (allowed && folder && !allowed.includes(folder)) {
      console.error(`${path} may not depend on ${name} (${folder}/)`);
      wrong += 1;
    }
  }
}
process.exitCode = wrong > 0 ? 1 : 0;
