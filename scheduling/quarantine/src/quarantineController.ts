import {createMapDraft} from '@gentianshunt/board';
import type {TurnTime} from '@gentianshunt/board';
import {
  defineEntryController,
  listFingerprints,
} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryMessage,
  Fingerprint,
} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';

import {addReportedRuns, listRecentCrashes} from './crashRecords.js';
import {listEvidenceNodes} from './evidenceNodes.js';
import {
  acceptSoundUse,
  endFailedTest,
  findDispatched,
  grantTest,
  handleSuspectedParts,
  handleSuspectedRequests,
  learnQuarantine,
} from './quarantineDecisions.js';
import {replyToEntry, syncQuarantines} from './quarantineExchange.js';
import {handlePolicies} from './quarantinePolicies.js';
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
 * Creates the controller that decides which fingerprints are quarantined, if
 * this entry collects the evidence of a set, and learns what others decide.
 */
export function createQuarantineController(): EntryController {
  return defineEntryController<QuarantineReads, QuarantineSections>({
    name: 'quarantines',
    reads: QUARANTINE_READS,
    writes: QUARANTINE_SECTIONS,
    observes: [
      'entryMessage',
      'requestReceived',
      'streamEnded',
      'failedAnswerBroken',
      'timerDue',
    ],
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
    case 'requestReceived':
      return requestTests(
        view,
        draft,
        listFingerprints(observation.attributes),
        now,
      );
    case 'streamEnded':
      return observation.end.kind === 'cut'
        ? endFailedTest(
            view,
            draft,
            findDispatched(view, observation.dispatch),
            now,
          )
        : [];
    case 'failedAnswerBroken':
      return endFailedTest(view, draft, observation.request, now);
    case 'timerDue':
      return observation.timer.kind === 'housekeeping'
        ? [
            ...expireQuarantines(view, draft, now),
            ...handleSuspectedRequests(view, draft, now),
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
        {reporter: from, set, runs},
        now.monotonic,
      );
      const suspects = runs.flatMap(run => run.suspects);
      const reported = recordReportedSoundUse(view, from, suspects, now);
      return [
        {kind: 'set', section: 'endpointCrashes', value: crashes},
        ...reported.listWrites('reportedSoundUse' as const),
        ...handleSuspectedParts(view, draft, suspects, crashes, reported, now),
      ];
    }
    case 'soundUseReported': {
      const {uses} = message;
      const reported = recordReportedSoundUse(view, from, uses, now);
      return [
        ...reported.listWrites('reportedSoundUse' as const),
        ...uses.flatMap(use => acceptSoundUse(view, draft, use, reported, now)),
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
      return grantTest(view, draft, from, message.fingerprint, now);
    default:
      return [];
  }
}

/** Asks the set leader for a test of fingerprints whose time has come. */
function requestTests(
  {board}: QuarantineView,
  draft: QuarantineDraft,
  fingerprints: readonly Fingerprint[],
  now: TurnTime,
): readonly QuarantineWrite[] {
  return fingerprints.flatMap(({id: fingerprint}) => {
    const quarantine = draft.get(fingerprint);
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
          message: {kind: 'quarantineTestRequested', fingerprint},
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
      draft.delete(quarantine.fingerprint.id);
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
