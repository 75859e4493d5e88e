import {rm} from 'node:fs/promises';
import {join} from 'node:path';

import {
  LOG_FILE_NAME,
  SNAPSHOT_FILE_NAME,
  STORAGE_FILE_NAME,
} from './readFolder.js';

/** The log goes last: without it, what is left counts as damaged. */
const ORDER = [SNAPSHOT_FILE_NAME, STORAGE_FILE_NAME, LOG_FILE_NAME];

/** Removes the log from a data folder, so that the next start draws an id. */
export async function clearStorageFolder(path: string): Promise<void> {
  for (const name of ORDER) {
    await rm(join(path, name), {force: true});
  }
}
