/** Sends evidence to the entries that decide on quarantines. */
import type {TurnTime} from '@gentianshunt/board';
import type {
  BrokenRun,
  EntryMessage,
  ReportedBrokenRun,
  ReportedSoundUse,
} from '@gentianshunt/entryModel';
import type {EndpointSetId} from '@gentianshunt/identifiers';

import {listEvidenceNodes} from './evidenceNodes.js';
import type {EvidenceView, EvidenceWrite} from './evidenceView.js';

/** Reports broken runs of a set. */
export function sendBrokenRuns(
  view: EvidenceView,
  set: EndpointSetId,
  broken: readonly BrokenRun[],
  now: TurnTime,
): readonly EvidenceWrite[] {
  const runs = broken.map(
    ({endpoint, at, progress, suspects}): ReportedBrokenRun => ({
      endpoint,
      ageMs: now.monotonic - at,
      progress,
      suspects,
    }),
  );
  return sendToEvidenceNodes(view, set, {
    kind: 'brokenRunsReported',
    set,
    runs,
  });
}

/** Reports sound answers with quarantined fingerprints. */
export function sendSoundUse(
  view: EvidenceView,
  set: EndpointSetId,
  uses: readonly ReportedSoundUse[],
): readonly EvidenceWrite[] {
  return uses.length === 0
    ? []
    : sendToEvidenceNodes(view, set, {kind: 'soundUseReported', uses});
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
