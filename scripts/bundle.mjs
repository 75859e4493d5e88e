// Bundles the program of platform/adapter into one file under target/, so that
// a restart reads a single small file. Workspace packages are bundled from
// their sources.
import {build} from 'esbuild';

import {readPackages} from './workspace.mjs';

const alias = Object.fromEntries(
  readPackages().map(({path, manifest}) => [
    manifest.name,
    `./${path}/src/index.ts`,
  ]),
);

await build({
  entryPoints: ['platform/adapter/src/main.ts'],
  outfile: 'target/gentianshunt.cjs',
  bundle: true,
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
