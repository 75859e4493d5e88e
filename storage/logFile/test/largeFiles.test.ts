import type {LogEntry} from '@gentianshunt/messages';
import t from 'tap';

import {createFakeDisk} from './diskFixture.js';
import {
  createAppendBatch,
  createCompactBatch,
  createDocumentEntry,
  createEntry,
  openTestLog,
} from './logFixture.js';

const DOCUMENT_BYTES = 256 * 1_024;
const DOCUMENTS = 40;
const MEBIBYTE = 1_024 * 1_024;

function createDocumentEntries(): readonly LogEntry[] {
  return Array.from({length: DOCUMENTS}, (_, index) =>
    createDocumentEntry(index + 1, DOCUMENT_BYTES),
  );
}

/** Returns the bytes that stay in memory with the document of an entry. */
function readHeldBytes({payload}: LogEntry): number {
  return payload.kind === 'replaceConfiguration'
    ? payload.replacement.source.buffer.byteLength
    : 0;
}

t.test('large files are not encoded in one piece', async t => {
  const entries = createDocumentEntries();
  const batches = [
    createAppendBatch(1, entries),
    createCompactBatch(1, 0, entries),
  ];
  for (const batch of batches) {
    const disk = createFakeDisk();
    const log = await openTestLog(disk);
    await log.persist(batch);
    const largest = disk.readLargestAppend();
    t.ok(largest <= MEBIBYTE + 2 * DOCUMENT_BYTES, `${largest} bytes`);
    const {file} = await openTestLog(disk);
    t.equal(file.stored.entries.length, entries.length);
  }
});

t.test('a document does not keep the file that it was read from', async t => {
  const disk = createFakeDisk();
  const log = await openTestLog(disk);
  await log.persist(createAppendBatch(1, createDocumentEntries()));
  const {file} = await openTestLog(disk);
  for (const entry of file.stored.entries) {
    t.ok(readHeldBytes(entry) <= 2 * DOCUMENT_BYTES);
  }
});

t.test('of several compactions only the last one is written', async t => {
  const disk = createFakeDisk();
  const log = await openTestLog(disk);
  await log.persist(
    createAppendBatch(1, [createEntry(1), createEntry(2), createEntry(3)]),
    createCompactBatch(2, 1, [createEntry(2), createEntry(3)]),
    createCompactBatch(3, 2, [createEntry(3)]),
    createAppendBatch(4, [createEntry(4)]),
  );
  t.same(log.persisted, [4]);
  t.equal(disk.countRenames('snapshot'), 1);
  const {file} = await openTestLog(disk);
  t.same(file.stored.snapshot?.index, 2);
  t.same(
    file.stored.entries.map(entry => entry.index),
    [3, 4],
  );
});
