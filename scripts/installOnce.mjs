// Installs the locked dependencies unless the lock file is the one of the last
// installation, a copy of which is kept in STAMP_FILE.
import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';

const STAMP_FILE = '.install-stamp';
const lock = readFileSync('package-lock.json', 'utf8');
const isInstalled =
  existsSync(STAMP_FILE) && readFileSync(STAMP_FILE, 'utf8') === lock;
if (!isInstalled || !existsSync('node_modules')) {
  const result = spawnSync('npm', ['ci', '--prefer-offline'], {
    stdio: ['ignore', 'inherit', 'inherit'],
  });
  if (result.status !== 0) {
    process.exit(result.status ?? 1);
  }
  writeFileSync(STAMP_FILE, lock);
}
