// Lists the workspace packages and their manifests.
import {existsSync, readFileSync, readdirSync} from 'node:fs';

/** Reads every workspace package, as {path, manifest}. */
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
