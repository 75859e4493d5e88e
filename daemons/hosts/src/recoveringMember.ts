import {
  clearStorageFolder,
  CorruptLogError,
  IncompleteFolderError,
} from '@gentianshunt/logFile';
import type {NodeId} from '@gentianshunt/identifiers';

import {createControlHost} from './controlHost.js';
import type {ControlHost, ControlHostOptions} from './controlHost.js';
import {DataFolderRefusedError} from './dataFolderRefusedError.js';

/** What became of a data folder. */
export type FolderEvent =
  /** It cannot be trusted and was emptied. */
  | {readonly kind: 'folderDiscarded'; readonly error: Error}
  /** Its disk takes nothing; the member is started again. */
  | {readonly kind: 'diskFailed'; readonly error: Error};

/** What a control member that mends itself needs. */
export interface RecoveringMemberOptions extends Omit<
  ControlHostOptions,
  'onHalted' | 'onFailed'
> {
  /** Reads the nodes that others know as members. */
  readonly readContacts: () => readonly NodeId[];
  readonly onFolderEvent: (event: FolderEvent) => void;
}

/** A control member of an open group, while its disk lets it be one. */
export interface RecoveringMember {
  /** Takes a peer's message; tells whether it was meant for a member. */
  receive(from: NodeId, body: unknown): boolean;
}

/** Time between two looks at the members that others know, in milliseconds. */
const CONTACT_INTERVAL_MS = 500;
/** Time after which a member whose disk failed is started again. */
const DISK_RETRY_MS = 1_000;

/** Starts a member that goes on after its folder or its disk failed. */
export async function createRecoveringMember(
  options: RecoveringMemberOptions,
): Promise<RecoveringMember> {
  const {dataFolder, onFolderEvent} = options;
  let host: ControlHost | undefined = undefined;
  const start = async (): Promise<void> => {
    try {
      host = await createControlHost({
        ...options,
        onHalted: reason =>
          void discard(new DataFolderRefusedError(dataFolder, reason)),
        onFailed: error => void retry(error),
      });
    } catch (error) {
      await (isDamaged(error) ? discard(error) : retry(error as Error));
    }
  };
  // A folder that cannot be trusted is of no use to anybody; with an empty
  // one the member is admitted again.
  const discard = async (error: Error): Promise<void> => {
    onFolderEvent({kind: 'folderDiscarded', error});
    await stop();
    try {
      await clearStorageFolder(dataFolder);
    } catch (failure) {
      await retry(failure as Error);
      return;
    }
    await start();
  };
  const retry = async (error: Error): Promise<void> => {
    onFolderEvent({kind: 'diskFailed', error});
    await stop();
    setTimeout(() => void start(), DISK_RETRY_MS);
  };
  const stop = async (): Promise<void> => {
    const stopped = host;
    host = undefined;
    await stopped?.close();
  };
  await start();
  setInterval(() => {
    host?.post({kind: 'membersLearnt', members: options.readContacts()});
  }, CONTACT_INTERVAL_MS);
  return {receive: (from, body) => host?.receive(from, body) ?? false};
}

function isDamaged(error: unknown): error is Error {
  return (
    error instanceof CorruptLogError || error instanceof IncompleteFolderError
  );
}
