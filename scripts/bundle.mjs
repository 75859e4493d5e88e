// Bundles the platform's program into one file under target/, so that a
// restart loads little. Workspace packages are read from their sources.
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
  // An optional native helper of the codec that is not needed.
  external: ['cbor-extract'],
  alias,
});
