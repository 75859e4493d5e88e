// Updates of the configuration that several entries receive.
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {SharedUpdate} from '@gentianshunt/controlModel';
import type {ConfigurationVersion} from '@gentianshunt/messages';

import {createDelta, findDeltaStart} from './configurationDelta.js';
import {createConfigurationUpdate} from './configurationUpdates.js';
import type {ConfigurationUpdate} from './configurationUpdates.js';
import type {SessionView, SessionWrite} from './sessionWrites.js';

/** Time without a use after which an update is dropped. */
const MAX_UNUSED_MS: Milliseconds = 2_000;
/** Most updates that are kept. */
const MAX_SHARED_UPDATES = 8;

/** The updates of a turn by the version that they start from. */
export type UpdateDraft = Map<ConfigurationVersion, ConfigurationUpdate>;

/**
 * Finds the update that brings entries from a version to the latest, or creates
 * it. Entries at the same version share one message, which is encoded once.
 */
export function findSharedUpdate(
  view: SessionView,
  draft: UpdateDraft,
  version: ConfigurationVersion,
): ConfigurationUpdate {
  const {sharedUpdates, applied} = view.board;
  const start = findDeltaStart(view.board, version);
  const known = draft.get(start) ?? sharedUpdates.get(start)?.update;
  const update =
    known?.version === applied.version
      ? known
      : createConfigurationUpdate(
          view,
          createDelta(view.board, start),
          null,
          null,
        );
  draft.set(start, update);
  return update;
}

/** Keeps the updates of a turn for entries that ask later. */
export function storeUpdates(
  {board}: SessionView,
  draft: UpdateDraft,
  now: TurnTime,
): readonly SessionWrite[] {
  const {sharedUpdates} = board;
  const known = [...draft].filter(([key]) => sharedUpdates.has(key));
  const added = [...draft].filter(([key]) => !sharedUpdates.has(key));
  const free = MAX_SHARED_UPDATES - [...sharedUpdates.iterateFrom()].length;
  return [...known, ...added.slice(0, Math.max(0, free))].map(
    ([key, update]) => ({
      kind: 'put',
      section: 'sharedUpdates',
      key,
      value: {update, usedAt: now.monotonic},
    }),
  );
}

/** Drops updates that end at an earlier version or were not used lately. */
export function expireUpdates(
  {board}: SessionView,
  now: TurnTime,
): readonly SessionWrite[] {
  const isExpired = ({update, usedAt}: SharedUpdate): boolean =>
    update.version !== board.applied.version ||
    now.monotonic - usedAt >= MAX_UNUSED_MS;
  return [...board.sharedUpdates.iterateFrom()]
    .filter(({value}) => isExpired(value))
    .map(({key}) => ({kind: 'delete', section: 'sharedUpdates', key}));
}
