import t from 'tap';

import {CorruptLogError, IncompleteFolderError} from '../src/index.js';
import {createFakeDisk} from './diskFixture.js';
import type {DiskFault, FakeDisk} from './diskFixture.js';
import {
  createAppendBatch,
  createCompactBatch,
  createEntry,
  openTestLog,
} from './logFixture.js';

const LOG = 'control.log';
const FIRST = createAppendBatch(1, [createEntry(1), createEntry(2)]);
const SECOND = createAppendBatch(2, [createEntry(3)]);

/** Creates a disk on which the first batch was acknowledged. */
async function createUsedDisk(): Promise<FakeDisk> {
  const disk = createFakeDisk();
  const log = await openTestLog(disk);
  await log.persist(FIRST);
  return disk;
}

async function listIndices(disk: FakeDisk): Promise<readonly number[]> {
  const {file} = await openTestLog(disk);
  return file.stored.entries.map(entry => entry.index);
}

function toggleBit(disk: FakeDisk, name: string, offset: number): void {
  const bytes = Buffer.from(disk.readFile(name));
  bytes[offset] = bytes[offset]! ^ 0x10;
  disk.writeFile(name, bytes);
}

t.test('a batch is acknowledged only once it survives power loss', async t => {
  const disk = await createUsedDisk();
  const log = await openTestLog(disk);
  await log.persist(SECOND);
  t.same(log.persisted, [2]);
  disk.losePower();
  const {file} = await openTestLog(disk);
  t.same(
    file.stored.entries.map(entry => entry.index),
    [1, 2, 3],
  );
  t.same(file.stored.ballot.term, 2);
});

t.test('short writes are completed', async t => {
  const disk = await createUsedDisk();
  disk.setFault({kind: 'shortWrite'});
  const log = await openTestLog(disk);
  await log.persist(SECOND);
  t.same(log.persisted, [2]);
  disk.losePower();
  t.same(await listIndices(disk), [1, 2, 3]);
});

const DISK_FAULTS: readonly DiskFault[] = [
  {kind: 'diskFull', afterBytes: 0},
  {kind: 'diskFull', afterBytes: 20},
  {kind: 'failedSync'},
];
for (const fault of DISK_FAULTS) {
  const batches = [SECOND, createCompactBatch(2, 2, [createEntry(3)])];
  for (const batch of batches) {
    const name = `${JSON.stringify(fault)} during ${batch.kind}`;
    t.test(`${name} stops the log without an acknowledgement`, async t => {
      const disk = await createUsedDisk();
      const log = await openTestLog(disk);
      disk.setFault(fault);
      await log.persist(batch);
      disk.setFault(null);
      await log.persist(createAppendBatch(3, [createEntry(4)]));
      t.same(log.persisted, []);
      t.same(
        log.failures.map(error => error.code),
        ['ERR_LOG_WRITE'],
      );
      disk.losePower();
      const indices = await listIndices(disk);
      t.same(indices.slice(0, 2), [1, 2], 'acknowledged entries are kept');
    });
  }
}

t.test('a write that is truncated at any byte is discarded', async t => {
  const whole = await createUsedDisk();
  const length = whole.readFile(LOG).length;
  const log = await openTestLog(whole);
  await log.persist(SECOND);
  const added = whole.readFile(LOG).subarray(length);
  for (let kept = 0; kept < added.length; kept += 1) {
    const disk = await createUsedDisk();
    const bytes = [disk.readFile(LOG), added.subarray(0, kept)];
    disk.writeFile(LOG, Buffer.concat(bytes));
    const indices = await listIndices(disk);
    const isKept = indices.join().startsWith('1,2');
    const again = await openTestLog(disk);
    await again.persist(
      createAppendBatch(4, [createEntry(indices.length + 1)]),
    );
    const isUsable = (await listIndices(disk)).length === indices.length + 1;
    if (!isKept || !isUsable) {
      t.fail(`truncated after ${kept} bytes: ${indices.join()}`);
    }
  }
  t.pass('the log recovers from every length');
});

t.test('acknowledged entries survive the loss of unsynced bytes', async t => {
  for (const keptTail of [0, 1, 15, 40]) {
    const disk = await createUsedDisk();
    const log = await openTestLog(disk);
    disk.setFault({kind: 'failedSync'});
    await log.persist(SECOND);
    disk.losePower(keptTail);
    const indices = await listIndices(disk);
    t.same(indices.slice(0, 2), [1, 2]);
  }
});

t.test('a flipped bit never loses an acknowledged entry', async t => {
  const {length} = (await createUsedDisk()).readFile(LOG);
  for (let offset = 0; offset < length; offset += 1) {
    const disk = await createUsedDisk();
    toggleBit(disk, LOG, offset);
    const outcome = await listIndices(disk).catch((error: unknown) => error);
    const isRefused = outcome instanceof CorruptLogError;
    // Damage to the `end` record of a write loses no entry.
    const isUnchanged = Array.isArray(outcome) && outcome.join() === '1,2';
    if (!isRefused && !isUnchanged) {
      t.fail(`bit flipped at byte ${offset}: ${String(outcome)}`);
    }
  }
  t.pass('damage at every offset is refused or loses no entry');
});

t.test('a flipped bit in a snapshot or storage id is refused', async t => {
  for (const name of ['snapshot', 'storage']) {
    const disk = await createUsedDisk();
    const log = await openTestLog(disk);
    await log.persist(createCompactBatch(2, 2));
    toggleBit(disk, name, 20);
    await t.rejects(openTestLog(disk), CorruptLogError);
  }
});

t.test(
  'an interrupted compaction leaves the state before or after it',
  async t => {
    const disk = await createUsedDisk();
    const before = disk.copy();
    const log = await openTestLog(disk);
    await log.persist(createCompactBatch(2, 2, [createEntry(3)]));
    const unfinished = before.copy();
    unfinished.writeFile('snapshot.new', disk.readFile('snapshot').subarray(9));
    t.same(await listIndices(unfinished), [1, 2]);
    const snapshotOnly = before.copy();
    snapshotOnly.writeFile('snapshot', disk.readFile('snapshot'));
    t.same(await listIndices(snapshotOnly), [1, 2]);
    t.same(await listIndices(disk), [3]);
  },
);

t.test('a snapshot beyond the log replaces it permanently', async t => {
  const disk = await createUsedDisk();
  const installed = createFakeDisk();
  const log = await openTestLog(installed);
  await log.persist(createCompactBatch(2, 50));
  disk.writeFile('snapshot', installed.readFile('snapshot'));
  const again = await openTestLog(disk);
  t.same(again.file.stored.base, {index: 50, term: 1});
  await again.persist(createAppendBatch(3, [createEntry(51)]));
  t.same(await listIndices(disk), [51]);
});

t.test('truncated entries stay removed', async t => {
  const disk = await createUsedDisk();
  const log = await openTestLog(disk);
  await log.persist(createAppendBatch(2, [createEntry(2, 2)], 2));
  const {file} = await openTestLog(disk);
  t.same(file.stored.entries, [createEntry(1), createEntry(2, 2)]);
});

t.test('an emptied folder gets another storage id', async t => {
  const disk = await createUsedDisk();
  const first = await openTestLog(disk);
  const second = await openTestLog(disk);
  t.same(first.file.storage, second.file.storage);
  const emptied = await openTestLog(createFakeDisk());
  t.not(emptied.file.storage, first.file.storage);
});

for (const name of [LOG, 'storage']) {
  t.test(`a folder that lost ${name} is refused`, async t => {
    const disk = await createUsedDisk();
    await disk.remove(name);
    await t.rejects(openTestLog(disk), IncompleteFolderError);
  });
}

t.test('a folder that lost its snapshot is refused', async t => {
  const disk = await createUsedDisk();
  const log = await openTestLog(disk);
  await log.persist(createCompactBatch(2, 2));
  await disk.remove('snapshot');
  await t.rejects(openTestLog(disk), IncompleteFolderError);
});
