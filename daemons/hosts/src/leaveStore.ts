import {join} from 'node:path';

import type {ReportedLeave} from '@gentianshunt/entryModel';
import {SchedulerError} from '@gentianshunt/errors';
import type {EndpointId, IncarnationId} from '@gentianshunt/identifiers';
import {appendAll, openStorageFolder, replaceFile} from '@gentianshunt/logFile';
import type {StorageFolder} from '@gentianshunt/logFile';
import {z} from 'zod';

/** Folder of the store within the data folder, which other files share. */
const FOLDER_NAME = 'leaves';
const FILE_NAME = 'leaves.json';

const leaveSchema = z.object({
  endpoint: z.string().transform(id => id as EndpointId),
  state: z.enum(['left', 'returned']),
  incarnation: z.discriminatedUnion('kind', [
    z.object({kind: z.literal('numbered'), startedAtMs: z.int().min(0)}),
    z.object({
      kind: z.literal('named'),
      incarnation: z.string().transform(id => id as IncarnationId),
    }),
  ]),
  remainingMs: z.number().min(0),
});
const leavesSchema = z.array(leaveSchema);

/** Thrown when the leaves on a disk cannot be read or replaced. */
export class LeaveStoreError extends SchedulerError {
  constructor(
    step: 'readLeaves' | 'storeLeaves',
    folder: string,
    cause: Error,
  ) {
    super({
      code: 'ERR_LEAVE_STORE',
      message: `${folder}/${FILE_NAME}: ${cause.message}`,
      origin: {step, peer: folder},
      cause,
    });
  }
}

/** The leaves of endpoints on the disk of a VM. */
export interface LeaveStore {
  /** Reads the stored leaves; none if they cannot be read. */
  read(): Promise<readonly ReportedLeave[]>;
  /** Replaces the stored leaves. While a write runs, the latest call waits. */
  write(leaves: readonly ReportedLeave[]): void;
}

/** Options of a leave store. */
export interface LeaveStoreOptions {
  readonly dataFolder: string;
  /** Called when the leaves cannot be read or replaced; the entry goes on. */
  readonly onFailed: (error: LeaveStoreError) => void;
}

/** Creates a store in a data folder. */
export function createLeaveStore({
  dataFolder,
  onFailed,
}: LeaveStoreOptions): LeaveStore {
  const path = join(dataFolder, FOLDER_NAME);
  let waiting: readonly ReportedLeave[] | null = null;
  let isWriting = false;
  const writeWaiting = async (): Promise<void> => {
    isWriting = true;
    while (waiting !== null) {
      const leaves = waiting;
      waiting = null;
      try {
        await writeLeaves(await openStorageFolder(path), leaves);
      } catch (error) {
        onFailed(new LeaveStoreError('storeLeaves', path, error as Error));
      }
    }
    isWriting = false;
  };
  return {
    read: async () => {
      try {
        return await readLeaves(await openStorageFolder(path));
      } catch (error) {
        onFailed(new LeaveStoreError('readLeaves', path, error as Error));
        return [];
      }
    },
    write: leaves => {
      waiting = leaves;
      if (!isWriting) {
        void writeWaiting();
      }
    },
  };
}

async function readLeaves(
  folder: StorageFolder,
): Promise<readonly ReportedLeave[]> {
  const names = await folder.list();
  if (!names.includes(FILE_NAME)) {
    return [];
  }
  const text = (await folder.read(FILE_NAME)).toString();
  return leavesSchema.parse(JSON.parse(text));
}

async function writeLeaves(
  folder: StorageFolder,
  leaves: readonly ReportedLeave[],
): Promise<void> {
  const bytes = Buffer.from(JSON.stringify(leaves));
  await replaceFile(folder, FILE_NAME, file => appendAll(file, bytes));
}
