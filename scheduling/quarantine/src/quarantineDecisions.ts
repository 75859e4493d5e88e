/** Decides on quarantines and learns what other entries decided. */
import type {TurnTime} from '@gentianshunt/board';
import {listFingerprints} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  EndpointCrash,
  Fingerprint,
  Quarantine,
  ReportedQuarantine,
  ReportedSoundUse,
  Suspect,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {
  DispatchId,
  FingerprintId,
  NodeId,
} from '@gentianshunt/identifiers';

import {hasSuspect} from './crashRecords.js';
import {decideParts, decideRequests} from './decideSuspects.js';
import type {DecidedSuspect, SuspectQuery} from './decideSuspects.js';
import {broadcastQuarantine} from './quarantineExchange.js';
import {toQuarantine} from './quarantineMessages.js';
import {
  createHold,
  createLift,
  createTest,
  isForgotten,
  isLater,
  isTestDue,
  listEvicted,
} from './quarantineRules.js';
import {toEffectWrite} from './quarantineView.js';
import type {
  QuarantineDraft,
  QuarantineView,
  QuarantineWrite,
  SoundUseDraft,
} from './quarantineView.js';
import {
  createSoundCounter,
  recordReportedSoundUse,
} from './reportedSoundUse.js';

/** Holds the prompt parts that the evidence speaks against. */
export function handleSuspectedParts(
  view: QuarantineView,
  draft: QuarantineDraft,
  suspects: readonly Suspect[],
  crashes: readonly EndpointCrash[],
  reported: SoundUseDraft,
  now: TurnTime,
): readonly QuarantineWrite[] {
  const decided = decideParts(
    suspects.map(({fingerprint}) => fingerprint),
    createQuery(view, draft, crashes, reported, now),
  );
  return decideHolds(view, draft, decided, crashes, now);
}

/** Holds the whole requests that the evidence speaks against. */
export function handleSuspectedRequests(
  view: QuarantineView,
  draft: QuarantineDraft,
  now: TurnTime,
): readonly QuarantineWrite[] {
  const crashes = view.board.endpointCrashes;
  if (crashes.length === 0) {
    return [];
  }
  const reported = recordReportedSoundUse(view, '' as NodeId, [], now);
  const query = createQuery(view, draft, crashes, reported, now);
  return decideHolds(view, draft, decideRequests(query), crashes, now);
}

function decideHolds(
  view: QuarantineView,
  draft: QuarantineDraft,
  decided: readonly DecidedSuspect[],
  crashes: readonly EndpointCrash[],
  now: TurnTime,
): readonly QuarantineWrite[] {
  return decided
    .filter(({fingerprint}) =>
      isNewEvidence(draft.get(fingerprint.id), crashes),
    )
    .flatMap(suspect => {
      const known = draft.get(suspect.fingerprint.id);
      const hold = createHold(known, suspect, now.monotonic);
      return decide(view, draft, hold, now);
    });
}

function createQuery(
  view: QuarantineView,
  draft: QuarantineDraft,
  crashes: readonly EndpointCrash[],
  reported: SoundUseDraft,
  now: TurnTime,
): SuspectQuery {
  return {
    crashes,
    countSoundRuns: createSoundCounter(view, reported, now),
    isQuarantined: id => {
      const known = draft.get(id);
      return known !== undefined && known.state.kind !== 'lifted';
    },
    now: now.monotonic,
  };
}

/** Returns whether the evidence still speaks against a fingerprint. */
function isStillSuspected(
  fingerprint: Fingerprint,
  query: SuspectQuery,
): boolean {
  const {id, kind} = fingerprint;
  switch (kind) {
    case 'promptPart':
      return decideParts([fingerprint], query).some(
        suspect => suspect.fingerprint.id === id,
      );
    case 'request':
      return decideRequests({
        ...query,
        isQuarantined: other => other !== id && query.isQuarantined(other),
      }).some(suspect => suspect.fingerprint.id === id);
    default:
      return assertNever(kind, 'isStillSuspected');
  }
}

/** Lifts a quarantine that sound answers contradict. */
export function acceptSoundUse(
  view: QuarantineView,
  draft: QuarantineDraft,
  {fingerprint, isUnderQuarantine}: ReportedSoundUse,
  reported: SoundUseDraft,
  now: TurnTime,
): readonly QuarantineWrite[] {
  const known = draft.get(fingerprint.id);
  if (known === undefined || known.state.kind === 'lifted') {
    return [];
  }
  const {endpointCrashes} = view.board;
  const query = createQuery(view, draft, endpointCrashes, reported, now);
  return isUnderQuarantine || !isStillSuspected(fingerprint, query)
    ? decide(
        view,
        draft,
        createLift(known, isUnderQuarantine, now.monotonic),
        now,
      )
    : [];
}

/** Accepts a quarantine that replaces the known one. */
export function learnQuarantine(
  view: QuarantineView,
  draft: QuarantineDraft,
  from: NodeId,
  reported: ReportedQuarantine,
  now: TurnTime,
): readonly QuarantineWrite[] {
  const learnt = toQuarantine(reported, now.monotonic);
  const isNews = isLater(learnt, draft.get(reported.fingerprint.id));
  return isNews && !isForgotten(learnt, now.monotonic)
    ? putQuarantine(view, draft, learnt, from, now)
    : [];
}

/** Permits the first entry that asks to test what may be tested now. */
export function grantTest(
  view: QuarantineView,
  draft: QuarantineDraft,
  from: NodeId,
  fingerprint: FingerprintId,
  now: TurnTime,
): readonly QuarantineWrite[] {
  const known = draft.get(fingerprint);
  return known !== undefined && isTestDue(known, now.monotonic)
    ? decide(view, draft, createTest(known, from, now.monotonic), now)
    : [];
}

/** Finds the request of a dispatch. */
export function findDispatched(
  {board}: QuarantineView,
  dispatch: DispatchId,
): AdmittedRequest | undefined {
  const id = board.dispatches.get(dispatch);
  return id === undefined ? undefined : board.requests.get(id)?.request;
}

/** Holds a fingerprint again at once when this entry's test of it broke an endpoint. */
export function endFailedTest(
  view: QuarantineView,
  draft: QuarantineDraft,
  request: AdmittedRequest | undefined,
  now: TurnTime,
): readonly QuarantineWrite[] {
  const {identity} = view.board;
  const fingerprints = request === undefined ? [] : listFingerprints(request);
  return fingerprints.flatMap(fingerprint => {
    const known = draft.get(fingerprint.id);
    const isTest =
      known?.state.kind === 'testing' &&
      known.state.tester === identity.address.node;
    if (!isTest) {
      return [];
    }
    const {set, crashes, reporters} = known;
    const suspect = {fingerprint, set, crashes: crashes + 1, reporters};
    const hold = createHold(known, suspect, now.monotonic);
    return decide(view, draft, hold, now);
  });
}

/** Returns whether a fingerprint was in a crash since its last decision. */
function isNewEvidence(
  known: Quarantine | undefined,
  crashes: readonly EndpointCrash[],
): boolean {
  return (
    known === undefined ||
    (known.state.kind !== 'held' &&
      crashes.some(
        crash =>
          crash.at > known.changedAt &&
          crash.runs.some(run => hasSuspect(run, known.fingerprint.id)),
      ))
  );
}

/** Puts a decision of this entry in force and sends it to all others. */
function decide(
  view: QuarantineView,
  draft: QuarantineDraft,
  quarantine: Quarantine,
  now: TurnTime,
): readonly QuarantineWrite[] {
  const self = view.board.identity.address.node;
  return [
    ...putQuarantine(view, draft, quarantine, self, now),
    ...broadcastQuarantine(view, quarantine, now),
  ];
}

export function putQuarantine(
  view: QuarantineView,
  draft: QuarantineDraft,
  quarantine: Quarantine,
  learntFrom: NodeId,
  now: TurnTime,
): readonly QuarantineWrite[] {
  const {fingerprint} = quarantine;
  if (draft.get(fingerprint.id) === undefined) {
    const {quarantines} = view.board;
    listEvicted(quarantines, fingerprint.kind).forEach(draft.delete);
  }
  draft.put(fingerprint.id, quarantine);
  const {set, state, crashes, reporters, level} = quarantine;
  return [
    toEffectWrite({
      kind: 'logDecision',
      decision: {
        kind: 'quarantineChanged',
        fingerprint: fingerprint.id,
        fingerprintKind: fingerprint.kind,
        set,
        state: state.kind,
        learntFrom,
        crashes,
        reporters,
        level,
        remainingMs: Math.max(0, state.until - now.monotonic),
      },
    }),
  ];
}
