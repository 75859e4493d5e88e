/** Records what began the streams of this entry, and tells the entries that keep it. */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  isResumableStream,
  listOtherEntries,
  toStreamOrigin,
} from '@gentianshunt/entryModel';
import type {
  NamedSoftware,
  RecordedOrigin,
  ReportedOrigin,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {EndpointSetId, NodeId, RequestId} from '@gentianshunt/identifiers';
import type {EntryAddress} from '@gentianshunt/messages';

import {countNeeded, listKeepers} from './originKeepers.js';
import type {OriginDraft, OriginView} from './originView.js';
import {findLastSole, isComplete, isSoleSoftware} from './seenSoftware.js';
import {hasOnlyNewSources} from './softwareHistories.js';

/** Other entries may see a set with a single software for so much longer. */
const SOLE_MARGIN = 2;
/** Waits of callers for the keepers of their streams are logged from here on. */
const LONG_HOLD_MS: Milliseconds = 250;

/** Records what began the streams whose answers have begun. */
export function recordOrigins(
  view: OriginView,
  draft: OriginDraft,
  now: TurnTime,
): void {
  const reports = createReports(draft, true);
  for (const key of view.readChanges('requests')) {
    const state = view.board.requests.get(key as RequestId);
    if (state?.kind !== 'answering') {
      continue;
    }
    const {id, set, resumed, routePolicy} = state.request;
    const attempt = resumed?.attempt ?? id;
    if (!isResumableStream(routePolicy)) {
      continue;
    }
    const known = draft.origins.get(attempt);
    if (known === undefined) {
      const {software} = toStreamOrigin(state.dispatch.target);
      recordOrigin(view, draft, reports, {id, attempt, set, software}, now);
    } else if (
      known.report.kind !== 'awaited' &&
      state.firstTokenAt === now.monotonic
    ) {
      draft.releaseAnswer(id);
    }
  }
  reports.send();
}

/** A stream that has just begun. */
interface BegunStream extends ReportedOrigin {
  readonly id: RequestId;
}

function recordOrigin(
  view: OriginView,
  draft: OriginDraft,
  reports: OriginReports,
  {id, attempt, set, software}: BegunStream,
  now: TurnTime,
): void {
  const recordedAt = now.monotonic;
  const keepers = hasToBeKept(view, draft, set, software, now)
    ? listKeepers(view, attempt)
    : [];
  if (keepers.length > 0) {
    const report = {kind: 'awaited', request: id, keptBy: []} as const;
    draft.origins.put(attempt, {software, set, recordedAt, report});
    reports.add(keepers, {attempt, set, software});
    draft.startTimer();
    return;
  }
  const report = {kind: 'due'} as const;
  draft.origins.put(attempt, {software, set, recordedAt, report});
  draft.releaseAnswer(id);
  if (isLeaving(view) || !isSoleSoftware(draft, set, now)) {
    draft.startTimer();
  }
}

/**
 * Returns whether others might take a stream for one of older software if they were
 * not told: the set had other software alone of late, or may have had.
 */
function hasToBeKept(
  view: OriginView,
  draft: OriginDraft,
  set: EndpointSetId,
  software: NamedSoftware,
  now: TurnTime,
): boolean {
  const seen = draft.seen.get(set);
  if (!isComplete(seen, draft.memoryMs, now)) {
    return !hasOnlyNewSources(view, seen);
  }
  const sole = findLastSole(seen, draft.memoryMs, now);
  return (
    sole !== null &&
    sole.software !== software &&
    now.monotonic - sole.seenAt <= SOLE_MARGIN * draft.memoryMs
  );
}

/** Returns whether this entry will not be there when streams are taken up. */
function isLeaving({board}: OriginView): boolean {
  return board.service.kind === 'draining';
}

/**
 * Reports the origins in the sets of several versions to their keepers, those of
 * all sets if this entry is about to end. Origins for which callers wait are
 * reported again: messages may be lost with a link.
 */
export function reportOrigins(
  view: OriginView,
  draft: OriginDraft,
  now: TurnTime,
): void {
  const reports = createReports(draft, false);
  const awaited = createReports(draft, true);
  const sole = new Map<EndpointSetId, boolean>();
  for (const [attempt, origin] of view.board.streamOrigins) {
    const {set, software, report} = origin;
    switch (report.kind) {
      case 'due': {
        const isSole = sole.get(set) ?? isSoleSoftware(draft, set, now);
        sole.set(set, isSole);
        if (!isSole || isLeaving(view)) {
          const to = listKeepers(view, attempt);
          reports.add(to, {attempt, set, software});
          putSent(draft, attempt, origin, to);
        }
        break;
      }
      case 'awaited':
        resendAwaited(view, draft, awaited, attempt, now);
        break;
      case 'sent':
      case 'received':
        break;
      default:
        assertNever(report, 'reportOrigins');
    }
  }
  reports.send();
  awaited.send();
}

/** Records that an origin was reported, unless there was no entry to report it to. */
function putSent(
  draft: OriginDraft,
  attempt: RequestId,
  origin: RecordedOrigin,
  to: readonly EntryAddress[],
): void {
  if (to.length > 0) {
    const report = {kind: 'sent', to: to.map(({node}) => node)} as const;
    draft.origins.put(attempt, {...origin, report});
  }
}

function resendAwaited(
  view: OriginView,
  draft: OriginDraft,
  reports: OriginReports,
  attempt: RequestId,
  now: TurnTime,
): void {
  const origin = draft.origins.get(attempt);
  if (origin?.report.kind !== 'awaited') {
    return;
  }
  const {set, software, report} = origin;
  const {request, keptBy} = report;
  const keepers = listKeepers(view, attempt);
  const isOpen = view.board.requests.get(request) !== undefined;
  if (!isOpen || keptBy.length >= countNeeded(keepers.length)) {
    releaseKept(draft, attempt, origin, keepers, now);
    return;
  }
  const missing = keepers.filter(({node}) => !keptBy.includes(node));
  reports.add(missing, {attempt, set, software});
  draft.startTimer();
}

/** Lets callers have the streams that enough other entries keep. */
export function confirmOrigins(
  view: OriginView,
  draft: OriginDraft,
  from: NodeId,
  attempts: readonly RequestId[],
  now: TurnTime,
): void {
  for (const attempt of attempts) {
    const origin = draft.origins.get(attempt);
    if (origin?.report.kind !== 'awaited') {
      continue;
    }
    const {request} = origin.report;
    const keptBy = [...new Set([...origin.report.keptBy, from])];
    const report = {kind: 'awaited', request, keptBy} as const;
    const keepers = listKeepers(view, attempt);
    draft.origins.put(attempt, {...origin, report});
    if (keptBy.length >= countNeeded(keepers.length)) {
      releaseKept(draft, attempt, {...origin, report}, keepers, now);
    }
  }
}

function releaseKept(
  draft: OriginDraft,
  attempt: RequestId,
  origin: RecordedOrigin,
  keepers: readonly EntryAddress[],
  now: TurnTime,
): void {
  const {set, recordedAt, report} = origin;
  if (report.kind !== 'awaited') {
    return;
  }
  const {request, keptBy} = report;
  const to = keepers.map(({node}) => node);
  draft.origins.put(attempt, {...origin, report: {kind: 'sent', to}});
  draft.releaseAnswer(request);
  const heldMs = now.monotonic - recordedAt;
  if (heldMs >= LONG_HOLD_MS) {
    draft.log({kind: 'answerHeld', request, set, heldMs, keptBy});
  }
}

/** Reports the streams of a set again to an entry that has lost what it was told. */
export function resendReports(
  view: OriginView,
  draft: OriginDraft,
  from: NodeId,
  set: EndpointSetId,
): void {
  const address = listOtherEntries(view.board).find(({node}) => node === from);
  if (address === undefined) {
    return;
  }
  const reports = createReports(draft, false);
  for (const [attempt, origin] of view.board.streamOrigins) {
    const {report, software} = origin;
    const isTold = report.kind === 'sent' && report.to.includes(from);
    if (isTold && origin.set === set) {
      reports.add([address], {attempt, set, software});
    }
  }
  reports.send();
}

/** Collects what is reported to each entry. */
interface OriginReports {
  add(to: readonly EntryAddress[], origin: ReportedOrigin): void;
  send(): void;
}

function createReports(draft: OriginDraft, isAwaited: boolean): OriginReports {
  const byNode = new Map<NodeId, [EntryAddress, ReportedOrigin[]]>();
  return {
    add: (to, origin) => {
      for (const address of to) {
        const [, origins] = byNode.get(address.node) ?? [address, []];
        origins.push(origin);
        byNode.set(address.node, [address, origins]);
      }
    },
    send: () => {
      for (const [{node, peer}, origins] of byNode.values()) {
        const kind = 'streamOriginsReported';
        draft.send(node, peer, {kind, origins, isAwaited});
      }
    },
  };
}
