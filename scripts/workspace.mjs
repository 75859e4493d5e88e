// Finds the workspace packages of the repository.
import {existsSync, readFileSync, readdirSync} from 'node:fs';

/** Reads the path and manifest (package.json) of every workspace package. */
export function readPackages() {
  const root = JSON.parse(readFileSync('package.json', 'utf8'));
  return root.workspaces
    .map(pattern => pattern.replace('/*', ''))
    .filter(folder => existsSync(folder))
    .flatMap(folder => readdirSync(folder).map(name => `${folder}/${name}`))
    .filter(path => existsSync(`${path}/package.json`))
    .map(path => ({
      path,
      manifest: JSON.parse(readFileSync(`${path}/package.json`, 'utf8')),
    }));
}
