import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import t from 'tap';

import {CHECKS, formatFinding, runSoak} from '../src/index.js';
import type {ConfigurationLoad} from '../src/index.js';

const MEMORY_MB = 200;
const DISK_MB = 64;
const DURATION_MS = 30_000;

/** Tests that a short run of a seed breaks no rule. */
export function checkRun(
  seed: number,
  vms: number,
  load: ConfigurationLoad = 'scheduled',
): void {
  t.test(`seed ${seed} on ${vms} VMs, ${load}`, async t => {
    const folder = mkdtempSync(join(tmpdir(), 'gentianshunt-soak-'));
    const {findings, counts} = await runSoak({
      seed,
      durationMs: DURATION_MS,
      vms,
      memoryMb: MEMORY_MB,
      diskMb: DISK_MB,
      load,
      folder,
    });
    t.ok(counts.answered > 0, 'requests are answered');
    for (const check of Object.keys(CHECKS)) {
      const violations = findings
        .filter(finding => finding.check === check && finding.excuse === null)
        .map(formatFinding);
      t.same(violations, [], `soak of seed ${seed}: ${check}`);
    }
    rmSync(folder, {recursive: true, force: true});
  });
}
