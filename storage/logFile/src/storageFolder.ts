import {mkdir, open, readdir, readFile, rename, rm} from 'node:fs/promises';
import {join} from 'node:path';

/** An append-only file. */
export interface StorageFile {
  /** Appends bytes and returns how many of them were written. */
  append(bytes: Buffer): Promise<number>;
  /** Truncates the file to a length in bytes. */
  truncate(length: number): Promise<void>;
  /** Resolves once all appended bytes are on the disk. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** The folder that stores a daemon's state. */
export interface StorageFolder {
  /** Identifies the folder in errors. */
  readonly path: string;
  list(): Promise<readonly string[]>;
  read(name: string): Promise<Buffer>;
  /** Opens a file, creating it if it does not exist. */
  openFile(name: string): Promise<StorageFile>;
  rename(from: string, to: string): Promise<void>;
  remove(name: string): Promise<void>;
  /** Resolves once renames and new files are on the disk. */
  sync(): Promise<void>;
}

/** Opens a folder of the file system, creating it if it does not exist. */
export async function openStorageFolder(path: string): Promise<StorageFolder> {
  await mkdir(path, {recursive: true});
  return {
    path,
    list: () => readdir(path),
    read: name => readFile(join(path, name)),
    openFile: name => openFile(join(path, name)),
    rename: (from, to) => rename(join(path, from), join(path, to)),
    remove: name => rm(join(path, name)),
    sync: () => syncFolder(path),
  };
}

async function openFile(path: string): Promise<StorageFile> {
  const handle = await open(path, 'a');
  return {
    append: async bytes => (await handle.write(bytes)).bytesWritten,
    truncate: length => handle.truncate(length),
    sync: () => handle.datasync(),
    close: () => handle.close(),
  };
}

async function syncFolder(path: string): Promise<void> {
  const handle = await open(path, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
