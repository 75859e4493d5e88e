import {
  clearStorageFolder,
  CorruptLogError,
  IncompleteFolderError,
} from '@gentianshunt/logFile';
import type {ControlNode} from '@gentianshunt/controlNode';
import type {NodeId} from '@gentianshunt/identifiers';

import {createControlHost} from './controlHost.js';
import type {ControlHost, ControlHostOptions} from './controlHost.js';
import {DataFolderRefusedError} from './dataFolderRefusedError.js';

/** A failure from which the member recovers. */
export type MemberEvent =
  /** The folder is damaged or rejected by the group, and is emptied. */
  | {readonly kind: 'folderDiscarded'; readonly error: Error}
  /** The disk failed; the member is restarted after a delay. */
  | {readonly kind: 'diskFailed'; readonly error: Error}
  /** A controller failed; the member is restarted after a delay. */
  | {readonly kind: 'memberFailed'; readonly error: Error};

/** Options of a control member that recovers from disk failures. */
export interface RecoveringMemberOptions extends Omit<
  ControlHostOptions,
  'onHalted' | 'onFailed' | 'onFault'
> {
  /** Lists the nodes that other nodes know as members. */
  readonly readKnownMembers: () => readonly NodeId[];
  readonly onMemberEvent: (event: MemberEvent) => void;
}

/** A control member that restarts after a failure. */
export interface RecoveringMember {
  /** Handles a peer's message; returns whether it was meant for a member. */
  receive(from: NodeId, body: unknown): boolean;
  /** Reads the member's board; `undefined` while it is restarted. */
  readView(): ControlNode['view'] | undefined;
  /** Ends the member for good. */
  close(): Promise<void>;
}

/** Interval at which the member is updated with the known members. */
const KNOWN_MEMBERS_INTERVAL_MS = 500;
/** Delay before a member that failed is restarted. */
const RESTART_DELAY_MS = 1_000;

/** Starts a member that recovers after a failure. */
export async function createRecoveringMember(
  options: RecoveringMemberOptions,
): Promise<RecoveringMember> {
  const {dataFolder, onMemberEvent} = options;
  let host: ControlHost | undefined = undefined;
  let retryTimer: NodeJS.Timeout | undefined;
  let isClosed = false;
  const start = async (): Promise<void> => {
    if (isClosed) {
      return;
    }
    const opening = createControlHost({
      ...options,
      onHalted: reason => {
        const error = new DataFolderRefusedError(dataFolder, reason);
        runOnceOpen(opening, () => replaceFolder(error));
      },
      onFailed: error =>
        runOnceOpen(opening, () => restartAfterDelay('diskFailed', error)),
      // Its state is on the disk, so the entry beside it can go on.
      onFault: error =>
        runOnceOpen(opening, () => restartAfterDelay('memberFailed', error)),
    });
    try {
      host = await opening;
    } catch (error) {
      await (isDamaged(error)
        ? replaceFolder(error)
        : restartAfterDelay('diskFailed', error as Error));
    }
  };
  // The group does not accept a damaged or outdated folder. With an empty
  // folder the member is admitted again.
  const replaceFolder = async (error: Error): Promise<void> => {
    onMemberEvent({kind: 'folderDiscarded', error});
    await stop();
    try {
      await clearStorageFolder(dataFolder);
    } catch (failure) {
      await restartAfterDelay('diskFailed', failure as Error);
      return;
    }
    await start();
  };
  const restartAfterDelay = async (
    kind: 'diskFailed' | 'memberFailed',
    error: Error,
  ): Promise<void> => {
    onMemberEvent({kind, error});
    await stop();
    retryTimer = setTimeout(() => void start(), RESTART_DELAY_MS);
  };
  const stop = async (): Promise<void> => {
    const stopped = host;
    host = undefined;
    try {
      await stopped?.close();
    } catch (error) {
      // The folder is read again at the next start, whatever its state.
      onMemberEvent({kind: 'diskFailed', error: error as Error});
    }
  };
  await start();
  const knownMembersTimer = setInterval(() => {
    host?.post({kind: 'membersLearnt', members: options.readKnownMembers()});
  }, KNOWN_MEMBERS_INTERVAL_MS);
  return {
    receive: (from, body) => host?.receive(from, body) ?? false,
    readView: () => host?.node.view,
    close: async () => {
      clearInterval(knownMembersTimer);
      clearTimeout(retryTimer);
      isClosed = true;
      await stop();
    },
  };
}

/** Recovers after a failure, which may come before the host is open. */
function runOnceOpen(
  opening: Promise<ControlHost>,
  recover: () => Promise<void>,
): void {
  void opening.then(recover, () => undefined);
}

function isDamaged(error: unknown): error is Error {
  return (
    error instanceof CorruptLogError || error instanceof IncompleteFolderError
  );
}
