import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

import {createSystemClock} from '@gentianshunt/runtime';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import {openStorageFolder} from '@gentianshunt/logFile';
import type {StorageFile, StorageFolder} from '@gentianshunt/logFile';
import t from 'tap';

import {createRecoveringMember} from '../src/index.js';

const NODE = toIdentifier<NodeId>('control-0');
const ENTRY = toIdentifier<NodeId>('entry-0');
const BYTES_PER_MB = 1_024 * 1_024;
const FULL_MS = 2_500;
/** The member restarts a second after a failure and then elects itself. */
const RECOVERY_MS = 6_000;
const COMMAND_INTERVAL_MS = 100;

/** The operations that a disk without room refuses. */
const OPERATIONS = [
  'append',
  'truncate',
  'sync',
  'close',
  'openFile',
  'rename',
  'syncFolder',
] as const;
type Operation = (typeof OPERATIONS)[number];

/** A folder whose operations fail while its disk is full. */
interface FullFolder {
  readonly open: (path: string) => Promise<StorageFolder>;
  refused: ReadonlySet<Operation>;
}

function createFullFolder(): FullFolder {
  const state: FullFolder = {
    refused: new Set(),
    open: async path => wrapFolder(await openStorageFolder(path)),
  };
  const guard = async <Result>(
    operation: Operation,
    run: () => Promise<Result>,
  ): Promise<Result> => {
    if (state.refused.has(operation)) {
      throw new Error(`ENOSPC: no space left on device, ${operation}`);
    }
    return run();
  };
  const wrapFile = (file: StorageFile): StorageFile => ({
    append: bytes => guard('append', () => file.append(bytes)),
    truncate: length => guard('truncate', () => file.truncate(length)),
    sync: () => guard('sync', () => file.sync()),
    close: async () => {
      await file.close();
      await guard('close', async () => undefined);
    },
  });
  const wrapFolder = (folder: StorageFolder): StorageFolder => ({
    ...folder,
    openFile: name =>
      guard('openFile', async () => wrapFile(await folder.openFile(name))),
    rename: (from, to) => guard('rename', () => folder.rename(from, to)),
    sync: () => guard('syncFolder', () => folder.sync()),
  });
  return state;
}

/** Returns whether a single member serves once its disk has room again. */
async function runOnFullDisk(
  refused: readonly Operation[],
  isFullAtStart: boolean,
): Promise<boolean> {
  const dataFolder = mkdtempSync(join(tmpdir(), 'gentianshunt-'));
  const folder = createFullFolder();
  folder.refused = new Set(isFullAtStart ? refused : []);
  const answered = new Set<number>();
  let sent = 0;
  const member = await createRecoveringMember({
    node: NODE,
    members: [NODE],
    admission: {kind: 'open', mayBootstrap: true},
    releaseApplyMs: 2_000,
    dataFolder,
    resources: {memoryBytes: 512 * BYTES_PER_MB, diskBytes: 64 * BYTES_PER_MB},
    openFolder: folder.open,
    clock: createSystemClock(),
    sendToMember: () => undefined,
    sendToEntry: (_to, message) => {
      if (
        message.kind === 'commandReply' &&
        message.answer.kind === 'applied'
      ) {
        answered.add(message.answer.number);
      }
    },
    logDecision: () => undefined,
    readKnownMembers: () => [NODE],
    onEffectFailed: () => undefined,
    onMemberEvent: () => undefined,
  });
  const commands = setInterval(() => {
    sent += 1;
    member.receive(ENTRY, createCommand(sent));
  }, COMMAND_INTERVAL_MS);
  await sleep(isFullAtStart ? FULL_MS : FULL_MS / 2);
  if (!isFullAtStart) {
    folder.refused = new Set(refused);
    await sleep(FULL_MS);
  }
  folder.refused = new Set();
  const sentWhileFull = sent;
  await sleep(RECOVERY_MS);
  clearInterval(commands);
  await member.close();
  rmSync(dataFolder, {recursive: true, force: true});
  return [...answered].some(number => number > sentWhileFull);
}

function createCommand(number: number): unknown {
  const object = {
    kind: 'requestKind',
    id: `kind-${number}`,
    revision: 0,
    idempotent: true,
    weight: 1,
  };
  return {
    kind: 'commandRequest',
    correlation: `c${number}`,
    command: {
      number,
      operator: 'operator',
      digest: `digest-${number}`,
      commands: [{kind: 'put', expectedRevision: 0, object}],
    },
  };
}

// The tests mostly wait.
t.jobs = 2 * (OPERATIONS.length + 1);

// Guards against members that stay down after their disk has room again.
for (const isFullAtStart of [true, false]) {
  const moment = isFullAtStart ? 'at the start' : 'while it leads';
  for (const refused of [...OPERATIONS.map(each => [each]), OPERATIONS]) {
    t.test(
      `a member serves after its disk refused ${refused.join(', ')} ${moment}`,
      async t => {
        t.equal(await runOnFullDisk(refused, isFullAtStart), true);
      },
    );
  }
}
