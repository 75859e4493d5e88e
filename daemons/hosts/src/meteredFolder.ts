/** Measures what is read from a data folder. */
import {SNAPSHOT_FILE_NAME} from '@gentianshunt/logFile';
import type {StorageFolder} from '@gentianshunt/logFile';

/** Bytes that have been read from a folder. */
export interface ReadBytes {
  readonly snapshotBytes: number;
  readonly logBytes: number;
}

/** A folder, and what has been read from it. */
export interface MeteredFolder {
  readonly folder: StorageFolder;
  measure(): ReadBytes;
}

/** Creates a folder that counts the bytes read from another one. */
export function createMeteredFolder(inner: StorageFolder): MeteredFolder {
  let snapshotBytes = 0;
  let logBytes = 0;
  const folder: StorageFolder = {
    ...inner,
    read: async name => {
      const bytes = await inner.read(name);
      if (name === SNAPSHOT_FILE_NAME) {
        snapshotBytes += bytes.length;
      } else {
        logBytes += bytes.length;
      }
      return bytes;
    },
  };
  return {folder, measure: () => ({snapshotBytes, logBytes})};
}
