/** Records which fingerprints were at endpoints that failed. */
import type {TurnTime} from '@gentianshunt/board';
import type {MonotonicTime} from '@gentianshunt/clock';
import {listFingerprints} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  AnswerProgress,
  BrokenRun,
  Dispatch,
  EntryDecision,
  Fingerprint,
  Suspicion,
} from '@gentianshunt/entryModel';
import type {DispatchId} from '@gentianshunt/identifiers';

import {EVIDENCE_RETENTION_MS, limitSuspects} from './crashRecords.js';
import {sendBrokenRuns} from './evidenceMessages.js';
import type {EvidenceView, EvidenceWrite} from './evidenceView.js';
import {readSoundRuns} from './soundUse.js';
import type {SoundBoard} from './soundUse.js';

/** Most broken runs that an entry remembers. */
export const MAX_BROKEN_RUNS = 64;
/** Most fingerprints in the broken runs that an entry remembers. */
export const MAX_BROKEN_SUSPECTS = 8_192;
/** Sound answers after which a single crash raises no suspicion. */
const MIN_SOUND_RUNS = 0.5;

/** The state by which an entry suspects requests of its own. */
export interface SuspicionBoard extends SoundBoard {
  readonly brokenRuns: readonly BrokenRun[];
}

/** A run whose stream broke. */
export interface BrokenDispatch {
  readonly request: AdmittedRequest;
  readonly dispatch: DispatchId;
  readonly progress: AnswerProgress;
}

/** A dispatch at whose endpoint the connection broke. */
export interface EndedDispatch {
  readonly request: AdmittedRequest;
  readonly dispatch: Dispatch;
  readonly progress: AnswerProgress;
}

/** Records, logs and reports a run that broke. */
export function recordBrokenRun(
  view: EvidenceView,
  ended: EndedDispatch,
  now: TurnTime,
): readonly EvidenceWrite[] {
  const run = toBrokenRun(view, ended, now);
  const recent = view.board.brokenRuns.filter(
    ({at}) => now.monotonic - at < EVIDENCE_RETENTION_MS,
  );
  const value = limitSuspects(
    [...recent, run].slice(-MAX_BROKEN_RUNS),
    MAX_BROKEN_SUSPECTS,
    ({suspects}) => suspects.length,
  );
  const decision = describeBrokenAnswer(view, ended, now);
  return [
    {kind: 'set', section: 'brokenRuns', value},
    {kind: 'effect', effect: {kind: 'logDecision', decision}},
    ...sendBrokenRuns(view, run.set, [run], now),
  ];
}

/** Describes what a broken run says of the whole request. */
export function describeSuspicion(
  board: SuspicionBoard,
  {request, dispatch, progress}: BrokenDispatch,
  now: MonotonicTime,
): Suspicion {
  const own = listFingerprints(request).find(({kind}) => kind === 'request');
  if (own !== undefined && isSound(board, own, now)) {
    return 'soundBefore';
  }
  if (hasBrokenBefore(board, own, dispatch, now)) {
    return 'brokeBefore';
  }
  return progress === 'delivering' ? 'delivering' : 'firstBreak';
}

/**
 * Returns whether a request may have caused the failure of its endpoint, as far
 * as this entry knows: it has a prompt part without sound answers, or requests
 * like it broke before and none was sound.
 */
export function isSuspected(
  board: SuspicionBoard,
  broken: BrokenDispatch,
  now: MonotonicTime,
): boolean {
  const {request, progress} = broken;
  const hasUnsoundPart = listFingerprints(request).some(
    fingerprint =>
      fingerprint.kind === 'promptPart' && !isSound(board, fingerprint, now),
  );
  return (
    (progress !== 'delivering' && hasUnsoundPart) ||
    describeSuspicion(board, broken, now) === 'brokeBefore'
  );
}

function isSound(
  board: SoundBoard,
  fingerprint: Fingerprint,
  now: MonotonicTime,
): boolean {
  return readSoundRuns(board, fingerprint, now).lasting >= MIN_SOUND_RUNS;
}

/** Returns whether another run with a fingerprint broke recently. */
function hasBrokenBefore(
  {brokenRuns}: SuspicionBoard,
  wanted: Fingerprint | undefined,
  dispatch: DispatchId,
  now: MonotonicTime,
): boolean {
  return brokenRuns.some(
    run =>
      run.dispatch !== dispatch &&
      now - run.at < EVIDENCE_RETENTION_MS &&
      run.suspects.some(({fingerprint}) => fingerprint.id === wanted?.id),
  );
}

function toBrokenRun(
  {board}: EvidenceView,
  {request, dispatch, progress}: EndedDispatch,
  now: TurnTime,
): BrokenRun {
  const runProgress = toRunProgress(request, progress);
  const fingerprints =
    runProgress === 'delivering' ? [] : listFingerprints(request);
  return {
    dispatch: dispatch.id,
    set: request.set,
    endpoint: dispatch.target.endpoint,
    at: now.monotonic,
    progress: runProgress,
    suspects: fingerprints.map(fingerprint => ({
      fingerprint,
      ...readSoundRuns(board, fingerprint, now.monotonic),
    })),
  };
}

/** An answer that is no stream has delivered nothing before its end. */
function toRunProgress(
  {routePolicy}: AdmittedRequest,
  progress: AnswerProgress,
): AnswerProgress {
  return progress === 'delivering' && routePolicy?.isStream === false
    ? 'awaitingFirstEvent'
    : progress;
}

function describeBrokenAnswer(
  {board}: EvidenceView,
  {request, dispatch, progress}: EndedDispatch,
  now: TurnTime,
): EntryDecision {
  const broken = {request, dispatch: dispatch.id, progress};
  return {
    kind: 'answerBroken',
    request: request.id,
    set: request.set,
    organisation: request.organisation,
    endpoint: dispatch.target.endpoint,
    attempt: (request.tried?.length ?? 0) + 1,
    progress,
    sinceDispatchMs: now.monotonic - dispatch.at,
    promptParts: request.promptParts ?? [],
    fingerprint: request.requestFingerprint ?? null,
    suspicion: describeSuspicion(board, broken, now.monotonic),
  };
}
