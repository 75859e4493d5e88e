// Installs the locked dependencies when the lock file has changed.
import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';

const STAMP = '.install-stamp';
const lock = readFileSync('package-lock.json', 'utf8');
const installed = existsSync(STAMP) && readFileSync(STAMP, 'utf8') === lock;
if (!installed || !existsSync('node_modules')) {
  const result = spawnSync('npm', ['ci', '--prefer-offline'], {
    stdio: ['ignore', 'inherit', 'inherit'],
  });
  if (result.status !== 0) {
    process.exit(result.status ?? 1);
  }
  writeFileSync(STAMP, lock);
}
