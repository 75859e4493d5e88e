import type {StorageFile, StorageFolder} from '../src/index.js';

/** What the disk does wrong at its next chance. */
export type DiskFault =
  /** Takes half of the bytes of each append. */
  | {readonly kind: 'shortWrite'}
  /** Fails an append after some of its bytes. */
  | {readonly kind: 'diskFull'; readonly afterBytes: number}
  | {readonly kind: 'failedSync'};

interface FakeFile {
  bytes: Buffer;
  /** Bytes that survive a loss of power. */
  synced: Buffer;
}

/** A folder in memory that loses what was not synced. */
export interface FakeDisk extends StorageFolder {
  setFault(fault: DiskFault | null): void;
  /** Loses what was not synced, but for some bytes of each tail. */
  losePower(keptTailBytes?: number): void;
  readFile(name: string): Buffer;
  writeFile(name: string, bytes: Buffer): void;
  copy(): FakeDisk;
}

/** Creates a disk, empty or with the given files on it. */
export function createFakeDisk(
  initial: ReadonlyMap<string, Buffer> = new Map(),
): FakeDisk {
  const toFiles = (content: ReadonlyMap<string, Buffer>) =>
    new Map(
      [...content].map(([name, bytes]): [string, FakeFile] => [
        name,
        {bytes, synced: bytes},
      ]),
    );
  let files = toFiles(initial);
  let syncedNames = new Map(files);
  let fault: DiskFault | null = null;

  const takeAppend = (file: FakeFile, bytes: Buffer): number => {
    if (fault?.kind === 'diskFull') {
      const taken = bytes.subarray(0, fault.afterBytes);
      file.bytes = Buffer.concat([file.bytes, taken]);
      throw new Error('ENOSPC: no space left on device');
    }
    const count =
      fault?.kind === 'shortWrite' ? Math.ceil(bytes.length / 2) : bytes.length;
    file.bytes = Buffer.concat([file.bytes, bytes.subarray(0, count)]);
    return count;
  };
  const openFile = (name: string): StorageFile => {
    const file = files.get(name) ?? {
      bytes: Buffer.alloc(0),
      synced: Buffer.alloc(0),
    };
    files.set(name, file);
    return {
      append: async bytes => takeAppend(file, bytes),
      truncate: async length => {
        file.bytes = file.bytes.subarray(0, length);
      },
      sync: async () => {
        if (fault?.kind === 'failedSync') {
          throw new Error('EIO: i/o error');
        }
        file.synced = file.bytes;
      },
      close: async () => undefined,
    };
  };
  return {
    path: 'disk',
    list: async () => [...files.keys()],
    read: async name => files.get(name)!.bytes,
    openFile: async name => openFile(name),
    rename: async (from, to) => {
      files.set(to, files.get(from)!);
      files.delete(from);
    },
    remove: async name => {
      files.delete(name);
    },
    sync: async () => {
      syncedNames = new Map(files);
    },
    setFault: value => {
      fault = value;
    },
    losePower: (keptTailBytes = 0) => {
      fault = null;
      files = new Map(syncedNames);
      for (const file of files.values()) {
        const kept = Math.min(
          file.bytes.length,
          file.synced.length + keptTailBytes,
        );
        file.bytes = file.bytes.subarray(0, kept);
        file.synced = file.bytes;
      }
    },
    readFile: name => files.get(name)!.bytes,
    writeFile: (name, bytes) => {
      files.set(name, {bytes, synced: bytes});
    },
    copy: () =>
      createFakeDisk(
        new Map([...files].map(([name, {bytes}]) => [name, bytes])),
      ),
  };
}
