/** Remembers what began streams, and tells the entries that keep it. */
import type {TurnTime} from '@gentianshunt/board';
import {toStreamOrigin} from '@gentianshunt/entryModel';
import type {ReportedOrigin} from '@gentianshunt/entryModel';
import type {EndpointSetId, NodeId, RequestId} from '@gentianshunt/identifiers';
import type {EntryAddress} from '@gentianshunt/messages';

import {listKeepers} from './originKeepers.js';
import type {OriginDraft, OriginView} from './originView.js';
import {isSoleSoftware, recordUsed} from './seenSoftware.js';

/** Most origins that an entry remembers. */
const MAX_ORIGINS = 20_000;

/** Records what began the streams whose answers have begun. */
export function recordOrigins(
  view: OriginView,
  draft: OriginDraft,
  now: TurnTime,
): void {
  for (const key of view.readChanges('requests')) {
    const state = view.board.requests.get(key as RequestId);
    if (state?.kind !== 'answering') {
      continue;
    }
    const {id, set, resumed, routePolicy} = state.request;
    const attempt = resumed?.attempt ?? id;
    const mayBeTakenUp =
      routePolicy?.isStream === true && routePolicy.isResumable;
    if (!mayBeTakenUp || draft.origins.get(attempt) !== undefined) {
      continue;
    }
    draft.origins.put(attempt, {
      ...toStreamOrigin(state.dispatch.target),
      set,
      recordedAt: now.monotonic,
      isReported: false,
    });
    if (isLeaving(view) || !isSoleSoftware(draft, set, now)) {
      draft.startTimer();
    }
  }
}

/** Returns whether this entry will not be there when streams are taken up. */
function isLeaving({board}: OriginView): boolean {
  return board.service.kind === 'draining';
}

/**
 * Reports the origins in the sets of several versions to their keepers; those of
 * all sets if this entry is about to end.
 */
export function reportOrigins(
  view: OriginView,
  draft: OriginDraft,
  now: TurnTime,
): void {
  const reports = new Map<NodeId, OriginReport>();
  const sole = new Map<EndpointSetId, boolean>();
  for (const [attempt, origin] of view.board.streamOrigins) {
    const {set, software, isReported} = origin;
    if (isReported) {
      continue;
    }
    const isSole = sole.get(set) ?? isSoleSoftware(draft, set, now);
    sole.set(set, isSole);
    if (isSole && !isLeaving(view)) {
      continue;
    }
    const keepers = listKeepers(view, attempt);
    if (keepers.length === 0) {
      continue;
    }
    draft.origins.put(attempt, {...origin, isReported: true});
    for (const to of keepers) {
      const report = reports.get(to.node) ?? {to, origins: []};
      reports.set(to.node, report);
      report.origins.push({attempt, set, software});
    }
  }
  for (const {to, origins} of reports.values()) {
    draft.send(to.node, to.peer, {kind: 'streamOriginsReported', origins});
  }
}

/** What one entry is told. */
interface OriginReport {
  readonly to: EntryAddress;
  readonly origins: ReportedOrigin[];
}

/** Keeps the origins that another entry reports. */
export function receiveOrigins(
  draft: OriginDraft,
  origins: readonly ReportedOrigin[],
  now: TurnTime,
): void {
  for (const {attempt, set, software} of origins) {
    recordUsed(draft, set, software, now);
    if (draft.origins.get(attempt) === undefined) {
      const recordedAt = now.monotonic;
      draft.origins.put(attempt, {set, software, recordedAt, isReported: true});
    }
  }
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
  for (const [attempt, {recordedAt}] of streamOrigins) {
    if (recordedAt >= expiredAt && excess <= 0) {
      return;
    }
    draft.origins.delete(attempt);
    excess -= 1;
  }
}
