// Bundles the program of platform/adapter into one file under target/, so that
// a restart reads a single small file. Workspace packages are bundled from
// their sources. It fails if the installation differs from the lock file or if
// the bundle would contain two copies of a library.
// Usage: node scripts/bundle.mjs [--check]     --check: writes no file
import {build} from 'esbuild';

import {listMissingPackages} from './installation.mjs';
import {readPackages} from './workspace.mjs';

const OUTPUT_FILE = 'target/gentianshunt.cjs';
const MAX_LISTED_PACKAGES = 10;

function fail(lines) {
  console.error(lines.join('\n'));
  process.exit(1);
}

/** Finds the folder of the library that a bundled file belongs to. */
function findLibraryFolder(file) {
  return /^(.*node_modules\/(?:@[^/]+\/)?[^/]+)\//.exec(file)?.[1];
}

/** Lists the folders of each library of which there are several copies. */
function listDuplicates(files) {
  const foldersByName = new Map();
  for (const folder of new Set(files.map(findLibraryFolder))) {
    if (folder !== undefined) {
      const name = folder.slice(folder.lastIndexOf('node_modules/') + 13);
      foldersByName.set(name, [...(foldersByName.get(name) ?? []), folder]);
    }
  }
  return [...foldersByName.values()].filter(({length}) => length > 1);
}

const missing = listMissingPackages();
if (missing.length > 0) {
  fail([
    `${missing.length} packages of package-lock.json are not installed:`,
    ...missing.slice(0, MAX_LISTED_PACKAGES).map(name => `  ${name}`),
    'run npm ci',
  ]);
}

const alias = {
  ...Object.fromEntries(
    readPackages().map(({path, manifest}) => [
      manifest.name,
      `./${path}/src/index.ts`,
    ]),
  ),
  undici: './scripts/bundledUndici.mjs',
};

const {metafile} = await build({
  entryPoints: ['platform/adapter/src/main.ts'],
  outfile: OUTPUT_FILE,
  bundle: true,
  metafile: true,
  write: !process.argv.includes('--check'),
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  treeShaking: true,
  minify: true,
  keepNames: true,
  legalComments: 'none',
  logLevel: 'warning',
  // Optional native add-on of the CBOR codec; the program runs without it.
  external: ['cbor-extract'],
  alias,
});

const duplicates = listDuplicates(Object.keys(metafile.inputs));
if (duplicates.length > 0) {
  fail([
    'the bundle contains several copies of a library:',
    ...duplicates.map(folders => `  ${folders.join(', ')}`),
    'declare one version of it in the package.json at the root',
  ]);
}
