import {planLogBounds} from '@gentianshunt/controlModel';
import t from 'tap';

const BYTES_PER_MB = 1_024 * 1_024;

t.test('a compaction fits on the disk beside what it replaces', async t => {
  for (const disk of [64, 100, 1_024]) {
    for (const memory of [150, 200, 350, 4_096]) {
      const diskBytes = disk * BYTES_PER_MB;
      const bounds = planLogBounds({
        memoryBytes: memory * BYTES_PER_MB,
        diskBytes,
      });
      const snapshots = 2 * bounds.maxSnapshotIntervalBytes;
      const logs = 2 * bounds.transferBytes + bounds.maxSnapshotIntervalBytes;
      t.ok(snapshots + logs <= diskBytes, `${memory} MB and ${disk} MB`);
    }
  }
});

t.test('the bounds of a small VM are not zero', async t => {
  const bounds = planLogBounds({memoryBytes: 1, diskBytes: 1});
  t.ok(Object.values(bounds).every(bytes => bytes >= BYTES_PER_MB));
});
