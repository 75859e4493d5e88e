import {createMapDraft} from '@gentianshunt/board';
import type {TurnTime} from '@gentianshunt/board';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {EntryController, EntryMessage} from '@gentianshunt/entryModel';
import type {NodeId, PromptPartId} from '@gentianshunt/identifiers';

import {addReportedRuns, listRecentCrashes} from './crashRecords.js';
import {listEvidenceNodes} from './evidenceNodes.js';
import {
  acceptSoundUse,
  endFailedTest,
  grantTest,
  handlePolicies,
  handleSuspects,
  learnQuarantine,
} from './quarantineDecisions.js';
import {replyToEntry, syncQuarantines} from './quarantineExchange.js';
import {isForgotten, isTestDue} from './quarantineRules.js';
import {
  QUARANTINE_READS,
  QUARANTINE_SECTIONS,
  toEffectWrite,
} from './quarantineView.js';
import type {
  QuarantineDraft,
  QuarantineReads,
  QuarantineSections,
  QuarantineView,
  QuarantineWrite,
} from './quarantineView.js';
import {listFadedSoundUse, recordReportedSoundUse} from './reportedSoundUse.js';

/**
 * Creates the controller that decides which prompt parts are quarantined, if
 * this entry collects the evidence of a set, and learns what others decide.
 */
export function createQuarantineController(): EntryController {
  return defineEntryController<QuarantineReads, QuarantineSections>({
    name: 'quarantines',
    reads: QUARANTINE_READS,
    writes: QUARANTINE_SECTIONS,
    observes: ['entryMessage', 'requestReceived', 'streamEnded', 'timerDue'],
    run: (view, now) => {
      const draft = createMapDraft(view.board.quarantines);
      const writes = [
        ...handleObservation(view, draft, now),
        ...handlePolicies(view, draft, now),
      ];
      return [...writes, ...draft.listWrites('quarantines' as const)];
    },
  });
}

function handleObservation(
  view: QuarantineView,
  draft: QuarantineDraft,
  now: TurnTime,
): readonly QuarantineWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'entryMessage':
      return handleMessage(
        view,
        draft,
        observation.from,
        observation.message,
        now,
      );
    case 'requestReceived': {
      const parts = observation.attributes.promptParts ?? [];
      return requestTests(view, draft, parts, now);
    }
    case 'streamEnded':
      return observation.end.kind === 'cut'
        ? endFailedTest(view, draft, observation.dispatch, now)
        : [];
    case 'timerDue':
      return observation.timer.kind === 'housekeeping'
        ? [
            ...expireQuarantines(view, draft, now),
            ...syncQuarantines(view, now),
          ]
        : [];
    default:
      return [];
  }
}

function handleMessage(
  view: QuarantineView,
  draft: QuarantineDraft,
  from: NodeId,
  message: EntryMessage,
  now: TurnTime,
): readonly QuarantineWrite[] {
  switch (message.kind) {
    case 'brokenRunsReported': {
      const {set, runs} = message;
      const crashes = addReportedRuns(
        view.board.endpointCrashes,
        from,
        runs,
        now.monotonic,
      );
      const parts = runs.flatMap(run => run.parts);
      const soundParts = recordReportedSoundUse(view, from, parts, now);
      return [
        {kind: 'set', section: 'endpointCrashes', value: crashes},
        ...soundParts.listWrites('reportedSoundUse' as const),
        ...handleSuspects(view, draft, set, parts, crashes, soundParts, now),
      ];
    }
    case 'soundUseReported': {
      const {parts} = message;
      const soundParts = recordReportedSoundUse(view, from, parts, now);
      return [
        ...soundParts.listWrites('reportedSoundUse' as const),
        ...parts.flatMap(part =>
          acceptSoundUse(view, draft, part, soundParts, now),
        ),
      ];
    }
    case 'quarantinesReported':
      return [
        ...message.quarantines.flatMap(reported =>
          learnQuarantine(view, draft, from, reported, now),
        ),
        ...(message.isReplyRequested ? replyToEntry(view, from, now) : []),
      ];
    case 'quarantineTestRequested':
      return grantTest(view, draft, from, message.part, now);
    default:
      return [];
  }
}

/** Asks the set leader for a test of parts whose time has come. */
function requestTests(
  {board}: QuarantineView,
  draft: QuarantineDraft,
  parts: readonly PromptPartId[],
  now: TurnTime,
): readonly QuarantineWrite[] {
  return parts.flatMap(part => {
    const quarantine = draft.get(part);
    if (quarantine === undefined || !isTestDue(quarantine, now.monotonic)) {
      return [];
    }
    const {configuration, control} = board;
    return listEvidenceNodes(configuration, control.directory, quarantine.set)
      .slice(0, 1)
      .map(({node: to, peer: address}) =>
        toEffectWrite({
          kind: 'sendEntry',
          to,
          address,
          message: {kind: 'quarantineTestRequested', part},
        }),
      );
  });
}

function expireQuarantines(
  {board}: QuarantineView,
  draft: QuarantineDraft,
  now: TurnTime,
): readonly QuarantineWrite[] {
  for (const quarantine of board.quarantines.values()) {
    if (isForgotten(quarantine, now.monotonic)) {
      draft.delete(quarantine.part);
    }
  }
  const crashes = listRecentCrashes(board.endpointCrashes, now.monotonic);
  return [
    ...(crashes.length === board.endpointCrashes.length
      ? []
      : [{kind: 'set', section: 'endpointCrashes', value: crashes} as const]),
    ...listFadedSoundUse(board.reportedSoundUse, now).map(
      (key): QuarantineWrite => ({
        kind: 'delete',
        section: 'reportedSoundUse',
        key,
      }),
    ),
  ];
}
