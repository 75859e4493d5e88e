// Checks that each package depends only on packages of permitted folders.
import {readPackages} from './workspace.mjs';

// Folders on which the packages of a folder may depend. A folder that is not
// listed has no restriction.
const ALLOWED_FOLDERS = {
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
let violationCount = 0;
for (const {path, manifest} of packages) {
  const allowed = ALLOWED_FOLDERS[path.split('/')[0]];
  for (const name of Object.keys(manifest.dependencies ?? {})) {
    const folder = folderByName.get(name);
    if (allowed && folder && !allowed.includes(folder)) {
      console.error(`${path} must not depend on ${name} (in ${folder}/)`);
      violationCount += 1;
    }
  }
}
process.exitCode = violationCount > 0 ? 1 : 0;
