// Compares the installed packages with the lock file.
import {existsSync, readFileSync} from 'node:fs';

/** Lists the packages of the lock file that are missing or of another version. */
export function listMissingPackages() {
  const {packages} = JSON.parse(readFileSync('package-lock.json', 'utf8'));
  return Object.entries(packages)
    .filter(([folder]) => folder.includes('node_modules/'))
    .filter(([, {optional}]) => !optional)
    .filter(([folder, locked]) => !isInstalled(folder, locked))
    .map(([folder, {link, version}]) =>
      link ? folder : `${folder}@${version}`,
    );
}

/** Returns whether a folder holds the locked version, or a linked package. */
function isInstalled(folder, {link, version}) {
  return link
    ? existsSync(`${folder}/package.json`)
    : readVersion(folder) === version;
}

/** Reads the version of the package in a folder; `null` if there is none. */
export function readVersion(folder) {
  const file = `${folder}/package.json`;
  return existsSync(file)
    ? JSON.parse(readFileSync(file, 'utf8')).version
    : null;
}
