import {createOrderedDraft, compareValues} from '@gentianshunt/board';
import type {OrderedView} from '@gentianshunt/board';
import type {ControlWrite, ReleaseRecord} from '@gentianshunt/controlModel';
import type {LogIndex} from '@gentianshunt/messages';

/** Most releases that a member remembers. */
export const MAX_RELEASE_RECORDS = 64;
/** Lower than every release. */
const NO_RELEASE = -1;

type AppliedRecord = ReleaseRecord & {readonly appliedAt: number};

/** The records of the latest releases, including the changes of one run. */
export interface ReleaseDraft {
  /**
   * Adds or replaces a record. Beyond the bound it drops the oldest one, but
   * not the one that is applied.
   */
  put(record: ReleaseRecord): void;
  drop(index: LogIndex): void;
  /** Drops the record of an entry that was not applied. */
  dropUnapplied(index: LogIndex): void;
  /** Reads the highest release that is recorded as applied. */
  readHeldRelease(): number;
  /** Lists the releases that have not been applied, oldest first. */
  listUnapplied(): readonly ReleaseRecord[];
  /** Lists the applied releases that are not known to be in force. */
  listAppliedNotInForce(): readonly AppliedRecord[];
  listWrites(): readonly ControlWrite<'releases'>[];
}

/** Creates a draft of the records of releases. */
export function createReleaseDraft(
  view: OrderedView<LogIndex, ReleaseRecord>,
): ReleaseDraft {
  const draft = createOrderedDraft({view, compare: compareValues});
  const list = (): readonly ReleaseRecord[] =>
    Array.from(draft.iterateFrom(), ({value}) => value);
  const readHeldRelease = (): number =>
    list()
      .filter(isApplied)
      .reduce((held, {release}) => Math.max(held, release), NO_RELEASE);
  return {
    put: record => {
      draft.put(record.index, record);
      if (draft.size > MAX_RELEASE_RECORDS) {
        const held = readHeldRelease();
        const oldest = list().find(({release}) => release !== held);
        draft.delete(oldest!.index);
      }
    },
    drop: draft.delete,
    dropUnapplied: index => {
      if (draft.get(index)?.appliedAt === null) {
        draft.delete(index);
      }
    },
    readHeldRelease,
    listUnapplied: () => list().filter(record => !isApplied(record)),
    listAppliedNotInForce: () =>
      list()
        .filter(isApplied)
        .filter(({inForceAt}) => inForceAt === null),
    listWrites: () => draft.listWrites('releases' as const),
  };
}

function isApplied(record: ReleaseRecord): record is AppliedRecord {
  return record.appliedAt !== null;
}
