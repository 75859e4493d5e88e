import type {
  ControlObservation,
  PersistBatch,
} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import type {StorageId} from '@gentianshunt/messages';

type Started = Extract<ControlObservation, {readonly kind: 'started'}>;

/** A data folder in memory. */
export interface TestFolder {
  readonly storage: StorageId;
  readonly stored: Omit<Started, 'kind'>;
}

/** Creates the data folder of a member that has never run. */
export function createEmptyFolder(storage: StorageId): TestFolder {
  return {
    storage,
    stored: {
      ballot: {term: 0, votedFor: null},
      snapshot: null,
      base: {index: 0, term: 0},
      entries: [],
    },
  };
}

/** Applies a batch to the content of a folder. */
export function applyBatch(
  {storage, stored}: TestFolder,
  batch: PersistBatch,
): TestFolder {
  switch (batch.kind) {
    case 'append': {
      const {truncateFrom, entries} = batch;
      const kept = stored.entries.filter(
        ({index}) => truncateFrom === null || index < truncateFrom,
      );
      const ballot = batch.ballot ?? stored.ballot;
      return {
        storage,
        stored: {...stored, ballot, entries: [...kept, ...entries]},
      };
    }
    case 'compact': {
      const {ballot, snapshot, base, entries} = batch;
      return {storage, stored: {ballot, snapshot, base, entries}};
    }
    default:
      return assertNever(batch, 'applyBatch');
  }
}
