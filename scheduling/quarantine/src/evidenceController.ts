import type {TurnTime, View} from '@gentianshunt/board';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  BrokenRun,
  DispatchedState,
  EntryController,
  EntryDecision,
  EntryMessage,
  EntryObservation,
  EntrySections,
  EntryWrite,
  ReportedBrokenRun,
  ReportedSoundUse,
  StreamEnd,
} from '@gentianshunt/entryModel';
import type {
  DispatchId,
  EndpointSetId,
  PromptPartId,
} from '@gentianshunt/identifiers';

import {EVIDENCE_RETENTION_MS} from './crashRecords.js';
import {listEvidenceNodes} from './evidenceNodes.js';
import {addSoundRun, decaySoundUse} from './soundUse.js';

/** Most prompt parts whose sound answers an entry remembers. */
export const MAX_SOUND_PARTS = 4_096;
/** Most broken runs that an entry remembers. */
export const MAX_BROKEN_RUNS = 64;
/** A second chunk shows that the first event has passed. */
const SOUND_CHUNKS = 2;
/** Fewer recent sound answers than this say nothing. */
const MIN_REPORTED_SOUND_RUNS = 0.1;

type EvidenceReads =
  | 'requests'
  | 'dispatches'
  | 'control'
  | 'configuration'
  | 'streamProgress'
  | 'leaderChanges'
  | 'soundParts'
  | 'brokenRuns'
  | 'quarantines';
type EvidenceView = View<EntrySections, EvidenceReads, EntryObservation>;
type EvidenceWrite = EntryWrite<'soundParts' | 'brokenRuns'>;
type BrokenEnd = Extract<StreamEnd, {readonly kind: 'cut'}>;

/**
 * Creates the controller that records which prompt parts had sound answers and
 * which were at endpoints that failed, and reports both to the entries that
 * decide on quarantines.
 */
export function createEvidenceController(): EntryController {
  return defineEntryController<EvidenceReads, 'soundParts' | 'brokenRuns'>({
    name: 'evidence',
    reads: [
      'requests',
      'dispatches',
      'control',
      'configuration',
      'streamProgress',
      'leaderChanges',
      'soundParts',
      'brokenRuns',
      'quarantines',
    ],
    writes: ['soundParts', 'brokenRuns'],
    observes: ['streamEnded', 'tokensStreamed', 'entryMessage'],
    run: (view, now) => [
      ...handleObservation(view, now),
      ...reportToNewLeaders(view, now),
    ],
  });
}

function handleObservation(
  view: EvidenceView,
  now: TurnTime,
): readonly EvidenceWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'tokensStreamed':
      return observation.answerTokens >= SOUND_CHUNKS
        ? recordSoundAnswer(view, observation.dispatch, now)
        : [];
    case 'streamEnded':
      switch (observation.end.kind) {
        case 'complete':
          return recordSoundAnswer(view, observation.dispatch, now);
        case 'cut':
          return recordBrokenRun(
            view,
            observation.dispatch,
            observation.end,
            now,
          );
        default:
          return [];
      }
    case 'entryMessage':
      return observation.message.kind === 'quarantinesReported'
        ? answerQuarantines(view, observation.message, now)
        : [];
    default:
      return [];
  }
}

function findRunning(
  {board}: EvidenceView,
  dispatch: DispatchId,
): DispatchedState | undefined {
  const request = board.dispatches.get(dispatch);
  const state = request === undefined ? undefined : board.requests.get(request);
  return state?.kind === 'dispatched' || state?.kind === 'answering'
    ? state
    : undefined;
}

/** Records the first proof that an answer has passed its first event. */
function recordSoundAnswer(
  view: EvidenceView,
  dispatch: DispatchId,
  now: TurnTime,
): readonly EvidenceWrite[] {
  const {soundParts, streamProgress, quarantines} = view.board;
  const state = findRunning(view, dispatch);
  const chunks = streamProgress.get(dispatch)?.answerTokens ?? 0;
  const parts = state?.request.promptParts ?? [];
  if (state === undefined || parts.length === 0 || chunks >= SOUND_CHUNKS) {
    return [];
  }
  const objections = parts.filter(part => {
    const quarantine = quarantines.get(part);
    return quarantine !== undefined && quarantine.state.kind !== 'lifted';
  });
  return [
    ...dropOldestSoundParts(view, parts),
    ...parts.map((part): EvidenceWrite => ({
      kind: 'put',
      section: 'soundParts',
      key: part,
      value: addSoundRun(soundParts.get(part), now.monotonic),
    })),
    ...sendSoundParts(
      view,
      state.request.set,
      objections.map(part => {
        const {lasting, recent} = addSoundRun(
          soundParts.get(part),
          now.monotonic,
        );
        const isUnderQuarantine =
          state.dispatch.at > quarantines.get(part)!.changedAt;
        return {part, lasting, recent, isUnderQuarantine};
      }),
    ),
  ];
}

/** Makes room for new parts; a map lists the parts first seen first. */
function dropOldestSoundParts(
  {board: {soundParts}}: EvidenceView,
  parts: readonly PromptPartId[],
): readonly EvidenceWrite[] {
  const added = parts.filter(part => !soundParts.has(part)).length;
  const excess = soundParts.size + added - MAX_SOUND_PARTS;
  if (excess <= 0) {
    return [];
  }
  const dropped: PromptPartId[] = [];
  for (const part of soundParts.keys()) {
    if (dropped.length >= excess) {
      break;
    }
    if (!parts.includes(part)) {
      dropped.push(part);
    }
  }
  return dropped.map(key => ({kind: 'delete', section: 'soundParts', key}));
}

function recordBrokenRun(
  view: EvidenceView,
  dispatch: DispatchId,
  end: BrokenEnd,
  now: TurnTime,
): readonly EvidenceWrite[] {
  const state = findRunning(view, dispatch);
  if (state === undefined) {
    return [];
  }
  const run = toBrokenRun(view, state, end, now);
  const recent = view.board.brokenRuns.filter(
    ({at}) => now.monotonic - at < EVIDENCE_RETENTION_MS,
  );
  const value = [...recent, run].slice(-MAX_BROKEN_RUNS);
  const decision = describeBrokenAnswer(state, end, now);
  return [
    {kind: 'set', section: 'brokenRuns', value},
    {kind: 'effect', effect: {kind: 'logDecision', decision}},
    ...sendBrokenRuns(view, run.set, [run], now),
  ];
}

function toBrokenRun(
  {board}: EvidenceView,
  {request, dispatch}: DispatchedState,
  {progress}: BrokenEnd,
  now: TurnTime,
): BrokenRun {
  const parts = progress === 'delivering' ? [] : (request.promptParts ?? []);
  return {
    set: request.set,
    endpoint: dispatch.target.endpoint,
    at: now.monotonic,
    progress,
    parts: parts.map(part => ({
      part,
      ...decaySoundUse(board.soundParts.get(part), now.monotonic),
    })),
  };
}

function describeBrokenAnswer(
  {request, dispatch}: DispatchedState,
  {progress}: BrokenEnd,
  now: TurnTime,
): EntryDecision {
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
  };
}

/** A new set leader has none of the evidence that the previous one had. */
function reportToNewLeaders(
  view: EvidenceView,
  now: TurnTime,
): readonly EvidenceWrite[] {
  return [...view.readChanges('leaderChanges')].flatMap(key => {
    const set = key as EndpointSetId;
    const runs = view.board.brokenRuns.filter(run => run.set === set);
    return runs.length === 0 ? [] : sendBrokenRuns(view, set, runs, now);
  });
}

/** Tells the deciding entries of sound answers with quarantined parts. */
function answerQuarantines(
  view: EvidenceView,
  {quarantines}: Extract<EntryMessage, {readonly kind: 'quarantinesReported'}>,
  now: TurnTime,
): readonly EvidenceWrite[] {
  return quarantines
    .filter(({state}) => state.kind === 'held' && state.startsInMs > 0)
    .flatMap(({part, set}) => {
      const use = view.board.soundParts.get(part);
      const soundRuns = decaySoundUse(use, now.monotonic);
      return soundRuns.lasting < MIN_REPORTED_SOUND_RUNS
        ? []
        : sendSoundParts(view, set, [
            {part, ...soundRuns, isUnderQuarantine: false},
          ]);
    });
}

function sendBrokenRuns(
  view: EvidenceView,
  set: EndpointSetId,
  broken: readonly BrokenRun[],
  now: TurnTime,
): readonly EvidenceWrite[] {
  const runs = broken.map(
    ({endpoint, at, progress, parts}): ReportedBrokenRun => ({
      endpoint,
      ageMs: now.monotonic - at,
      progress,
      parts,
    }),
  );
  return sendToEvidenceNodes(view, set, {
    kind: 'brokenRunsReported',
    set,
    runs,
  });
}

function sendSoundParts(
  view: EvidenceView,
  set: EndpointSetId,
  parts: readonly ReportedSoundUse[],
): readonly EvidenceWrite[] {
  return parts.length === 0
    ? []
    : sendToEvidenceNodes(view, set, {kind: 'soundUseReported', parts});
}

function sendToEvidenceNodes(
  {board}: EvidenceView,
  set: EndpointSetId,
  message: EntryMessage,
): readonly EvidenceWrite[] {
  const {configuration, control} = board;
  return listEvidenceNodes(configuration, control.directory, set).map(
    ({node: to, peer: address}) => ({
      kind: 'effect',
      effect: {kind: 'sendEntry', to, address, message},
    }),
  );
}
