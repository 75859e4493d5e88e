import {mkdir, open, readdir, readFile, rename, rm} from 'node:fs/promises';
import {join} from 'node:path';

/** A file that is only appended to. */
export interface StorageFile {
  /** Appends bytes and returns how many of them were taken. */
  append(bytes: Buffer): Promise<number>;
  /** Cuts the file to a length in bytes. */
  truncate(length: number): Promise<void>;
  /** Returns once all that was appended is on the disk. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** The folder that holds a daemon's state. */
export interface StorageFolder {
  /** Names the folder in errors. */
  readonly path: string;
  list(): Promise<readonly string[]>;
  read(name: string): Promise<Buffer>;
  /** Opens a file, creating it when it is missing. */
  openFile(name: string): Promise<StorageFile>;
  rename(from: string, to: string): Promise<void>;
  remove(name: string): Promise<void>;
  /** Returns once renames and new files are on the disk. */
  sync(): Promise<void>;
}

/** Opens a folder of the machine, creating it when it is missing. */
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
  await handle.sync();
  await handle.close();
}
