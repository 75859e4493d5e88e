/** Decides on quarantines and learns what other entries decided. */
import type {TurnTime} from '@gentianshunt/board';
import type {ObjectKey} from '@gentianshunt/configuration';
import type {
  EndpointCrash,
  Quarantine,
  ReportedQuarantine,
  ReportedSoundUse,
  Suspect,
} from '@gentianshunt/entryModel';
import type {
  DispatchId,
  EndpointSetId,
  NodeId,
  PromptPartId,
} from '@gentianshunt/identifiers';

import {listSuspectedRuns} from './crashRecords.js';
import {decideSuspects} from './decideSuspects.js';
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
import {createSoundCounter} from './reportedSoundUse.js';

/** Holds the parts that the evidence speaks against. */
export function handleSuspects(
  view: QuarantineView,
  draft: QuarantineDraft,
  set: EndpointSetId,
  parts: readonly Suspect[],
  crashes: readonly EndpointCrash[],
  soundParts: SoundUseDraft,
  now: TurnTime,
): readonly QuarantineWrite[] {
  return decideSuspects(
    new Set(parts.map(({part}) => part)),
    crashes,
    createSoundCounter(view, soundParts, now),
  )
    .filter(({part}) => isNewEvidence(draft.get(part), crashes))
    .flatMap(suspect => {
      const known = draft.get(suspect.part);
      const hold = createHold(known, set, suspect, now.monotonic);
      return decide(view, draft, hold, now);
    });
}

/** Lifts a quarantine that sound answers contradict. */
export function acceptSoundUse(
  view: QuarantineView,
  draft: QuarantineDraft,
  {part, isUnderQuarantine}: ReportedSoundUse,
  soundParts: SoundUseDraft,
  now: TurnTime,
): readonly QuarantineWrite[] {
  const known = draft.get(part);
  if (known === undefined || known.state.kind === 'lifted') {
    return [];
  }
  const isSuspected = decideSuspects(
    new Set([part]),
    view.board.endpointCrashes,
    createSoundCounter(view, soundParts, now),
  ).some(suspect => suspect.part === part);
  return isUnderQuarantine || !isSuspected
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
  const isNews = isLater(learnt, draft.get(reported.part));
  return isNews && !isForgotten(learnt, now.monotonic)
    ? putQuarantine(view, draft, learnt, from, now)
    : [];
}

/** Permits the first entry that asks to test a part whose time has come. */
export function grantTest(
  view: QuarantineView,
  draft: QuarantineDraft,
  from: NodeId,
  part: PromptPartId,
  now: TurnTime,
): readonly QuarantineWrite[] {
  const known = draft.get(part);
  return known !== undefined && isTestDue(known, now.monotonic)
    ? decide(view, draft, createTest(known, from, now.monotonic), now)
    : [];
}

/** Holds a part again at once when this entry's test of it broke an endpoint. */
export function endFailedTest(
  view: QuarantineView,
  draft: QuarantineDraft,
  dispatch: DispatchId,
  now: TurnTime,
): readonly QuarantineWrite[] {
  const {dispatches, requests, identity} = view.board;
  const id = dispatches.get(dispatch);
  const state = id === undefined ? undefined : requests.get(id);
  return (state?.request.promptParts ?? []).flatMap(part => {
    const known = draft.get(part);
    const isTest =
      known?.state.kind === 'testing' &&
      known.state.tester === identity.address.node;
    if (!isTest) {
      return [];
    }
    const {set, crashes, reporters} = known;
    const suspect = {part, crashes: crashes + 1, reporters};
    const hold = createHold(known, set, suspect, now.monotonic);
    return decide(view, draft, hold, now);
  });
}

/** Lifts the quarantines that an operator has lifted. */
export function handlePolicies(
  view: QuarantineView,
  draft: QuarantineDraft,
  now: TurnTime,
): readonly QuarantineWrite[] {
  const self = view.board.identity.address.node;
  return [...view.readChanges('configuration')].flatMap(key => {
    const object = view.board.configuration.get(key as ObjectKey);
    const known =
      object?.kind === 'promptPolicy' && object.state === 'lifted'
        ? draft.get(object.id)
        : undefined;
    if (known === undefined || known.state.kind === 'lifted') {
      return [];
    }
    const lift = createLift(known, true, now.monotonic);
    return putQuarantine(view, draft, lift, self, now);
  });
}

/** Returns whether a part crashed an endpoint since its last decision. */
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
          listSuspectedRuns(crash).some(({parts}) =>
            parts.some(({part}) => part === known.part),
          ),
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

function putQuarantine(
  view: QuarantineView,
  draft: QuarantineDraft,
  quarantine: Quarantine,
  learntFrom: NodeId,
  now: TurnTime,
): readonly QuarantineWrite[] {
  if (draft.get(quarantine.part) === undefined) {
    listEvicted(view.board.quarantines).forEach(draft.delete);
  }
  draft.put(quarantine.part, quarantine);
  const {part, set, state, crashes, reporters, level} = quarantine;
  return [
    toEffectWrite({
      kind: 'logDecision',
      decision: {
        kind: 'quarantineChanged',
        part,
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
