import {rm} from 'node:fs/promises';
import {join} from 'node:path';

import {
  LOG_FILE_NAME,
  SNAPSHOT_FILE_NAME,
  STORAGE_FILE_NAME,
} from './readFolder.js';

/** The log is removed last, as a folder without a log counts as incomplete. */
const REMOVAL_ORDER = [SNAPSHOT_FILE_NAME, STORAGE_FILE_NAME, LOG_FILE_NAME];

/** Empties a data folder, so that the next start draws a new storage id. */
export async function clearStorageFolder(path: string): Promise<void> {
  for (const name of REMOVAL_ORDER) {
    await rm(join(path, name), {force: true});
  }
}
