/** Keeps the origins that other entries report, while streams may be taken up. */
import type {TurnTime} from '@gentianshunt/board';
import {findEntryAddress} from '@gentianshunt/entryModel';
import type {OriginMessage, RecordedOrigin} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';

import type {OriginDraft, OriginView} from './originView.js';
import {recordUsed} from './seenSoftware.js';

/** Most origins that an entry remembers. */
const MAX_ORIGINS = 20_000;

type OriginsReported = Extract<
  OriginMessage,
  {readonly kind: 'streamOriginsReported'}
>;

/** Keeps the origins that another entry reports, and says so if it waits for it. */
export function receiveOrigins(
  view: OriginView,
  draft: OriginDraft,
  from: NodeId,
  {origins, isAwaited}: OriginsReported,
  now: TurnTime,
): void {
  for (const {attempt, set, software} of origins) {
    recordUsed(draft, set, software, now);
    if (draft.origins.get(attempt) === undefined) {
      const recordedAt = now.monotonic;
      const report = {kind: 'received'} as const;
      draft.origins.put(attempt, {set, software, recordedAt, report});
    }
  }
  const address = findEntryAddress(view.board.control.directory, from);
  if (isAwaited && address !== undefined) {
    const attempts = origins
      .filter(({attempt, software}) =>
        isSame(draft.origins.get(attempt), software),
      )
      .map(({attempt}) => attempt);
    draft.send(from, address, {kind: 'streamOriginsKept', attempts});
  }
}

function isSame(
  known: RecordedOrigin | undefined,
  software: RecordedOrigin['software'],
): boolean {
  return known !== undefined && known.software === software;
}

/** Forgets origins of streams that nobody takes up any more. */
export function expireOrigins(
  {board: {streamOrigins}}: OriginView,
  draft: OriginDraft,
  now: TurnTime,
): void {
  const expiredAt = now.monotonic - draft.memoryMs;
  let excess = streamOrigins.size - MAX_ORIGINS;
  // The oldest come first.
  for (const [attempt, {recordedAt, report}] of streamOrigins) {
    const isExpired = recordedAt < expiredAt;
    if (!isExpired && excess <= 0) {
      return;
    }
    if (!isExpired && report.kind === 'received') {
      draft.forgetReports(now);
    }
    draft.origins.delete(attempt);
    excess -= 1;
  }
}
