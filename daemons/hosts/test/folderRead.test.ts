import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import type {FolderRead} from '@gentianshunt/logging';
import {createSystemClock} from '@gentianshunt/runtime';
import t from 'tap';

import {createControlHost, measureFolder} from '../src/index.js';
import type {ControlHost} from '../src/index.js';

const NODE = toIdentifier<NodeId>('control-0');
const BYTES_PER_MB = 1_024 * 1_024;
const ELECTION_POLL_MS = 50;
const ELECTION_TIMEOUT_MS = 10_000;

/** Opens a single member, and reports what it read of its folder. */
function openMember(
  dataFolder: string,
  onFolderRead: (read: FolderRead) => void,
): Promise<ControlHost> {
  const fail = (reason: unknown): void => {
    throw new Error('the member failed', {cause: reason});
  };
  return createControlHost({
    node: NODE,
    members: [NODE],
    admission: {kind: 'listed'},
    releaseApplyMs: 2_000,
    dataFolder,
    resources: {memoryBytes: 512 * BYTES_PER_MB, diskBytes: 64 * BYTES_PER_MB},
    clock: createSystemClock(),
    sendToMember: () => undefined,
    sendToEntry: () => undefined,
    logDecision: () => undefined,
    onFolderRead,
    onHalted: fail,
    onFailed: fail,
    onFault: fail,
    onEffectFailed: fail,
  });
}

async function awaitCommit({node}: ControlHost): Promise<void> {
  const until = Date.now() + ELECTION_TIMEOUT_MS;
  while (node.view.logStatus.commitIndex === 0 && Date.now() < until) {
    await new Promise(resolve => setTimeout(resolve, ELECTION_POLL_MS));
  }
}

t.test('a start reports what it read of the data folder', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'gentianshunt-'));
  t.teardown(() => rmSync(folder, {recursive: true, force: true}));
  const reads: FolderRead[] = [];
  const first = await openMember(folder, read => reads.push(read));
  await awaitCommit(first);
  await first.close();
  const stored = await measureFolder(folder);
  const second = await openMember(folder, read => reads.push(read));
  await second.close();
  t.match(reads[0], {snapshotBytes: 0, entries: 0});
  const {snapshotBytes, logBytes, entries, durationMs} = reads[1]!;
  t.ok(snapshotBytes > 0, 'the members of the group are a snapshot');
  t.ok(entries > 0);
  t.ok(logBytes > reads[0]!.logBytes);
  t.ok(snapshotBytes + logBytes <= stored);
  t.ok(durationMs >= 0);
});

t.test('the files of a folder are measured', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'gentianshunt-'));
  t.teardown(() => rmSync(folder, {recursive: true, force: true}));
  writeFileSync(join(folder, 'a'), 'x'.repeat(10));
  writeFileSync(join(folder, 'b'), 'x'.repeat(5));
  t.equal(await measureFolder(folder), 15);
  t.equal(await measureFolder(join(folder, 'missing')), 0);
});
