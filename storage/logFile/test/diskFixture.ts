import type {StorageFile, StorageFolder} from '../src/index.js';

/** The fault that the disk shows until it is changed. */
export type DiskFault =
  /** Writes only half of the bytes of each append. */
  | {readonly kind: 'shortWrite'}
  /** Fails each append after writing some of its bytes. */
  | {readonly kind: 'diskFull'; readonly afterBytes: number}
  | {readonly kind: 'failedSync'};

interface FakeFile {
  bytes: Buffer;
  /** Bytes that survive a power loss. */
  synced: Buffer;
}

/** An in-memory folder that loses unsynced data on a power loss. */
export interface FakeDisk extends StorageFolder {
  setFault(fault: DiskFault | null): void;
  /** Loses unsynced data, except for some bytes at the end of each file. */
  losePower(keptTailBytes?: number): void;
  readFile(name: string): Buffer;
  writeFile(name: string, bytes: Buffer): void;
  copy(): FakeDisk;
  /** Returns the most bytes that were appended at once. */
  readLargestAppend(): number;
  /** Counts how often a file was replaced by another one. */
  countRenames(to: string): number;
}

/** Creates a disk, empty or with the given files. */
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
  let largestAppend = 0;
  const renames: string[] = [];

  const appendWithFault = (file: FakeFile, bytes: Buffer): number => {
    largestAppend = Math.max(largestAppend, bytes.length);
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
      append: async bytes => appendWithFault(file, bytes),
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
      renames.push(to);
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
    readLargestAppend: () => largestAppend,
    countRenames: to => renames.filter(name => name === to).length,
    copy: () =>
      createFakeDisk(
        new Map([...files].map(([name, {bytes}]) => [name, bytes])),
      ),
  };
}
