// Installs the locked dependencies unless all of them are installed already.
import {spawnSync} from 'node:child_process';

import {listMissingPackages} from './installation.mjs';

if (listMissingPackages().length > 0) {
  const result = spawnSync('npm', ['ci', '--prefer-offline', '--no-audit'], {
    stdio: ['ignore', 'inherit', 'inherit'],
  });
  if (result.status !== 0) {
    process.exit(result.status ?? 1);
  }
}
