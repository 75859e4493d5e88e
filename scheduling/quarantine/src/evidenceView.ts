import type {View} from '@gentianshunt/board';
import type {
  DispatchedState,
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';
import type {DispatchId} from '@gentianshunt/identifiers';

/** The board sections that the evidence controller writes. */
export const EVIDENCE_SECTIONS = [
  'soundParts',
  'soundRequests',
  'brokenRuns',
] as const;
export type EvidenceSections = (typeof EVIDENCE_SECTIONS)[number];

/** The board sections that the evidence controller reads. */
export const EVIDENCE_READS = [
  ...EVIDENCE_SECTIONS,
  'requests',
  'dispatches',
  'control',
  'configuration',
  'streamProgress',
  'leaderChanges',
  'quarantines',
] as const;
export type EvidenceReads = (typeof EVIDENCE_READS)[number];

/** The board as the evidence controller sees it. */
export type EvidenceView = View<EntrySections, EvidenceReads, EntryObservation>;
export type EvidenceWrite = EntryWrite<EvidenceSections>;

/** Finds the request that a dispatch runs. */
export function findRunning(
  {board}: EvidenceView,
  dispatch: DispatchId,
): DispatchedState | undefined {
  const request = board.dispatches.get(dispatch);
  const state = request === undefined ? undefined : board.requests.get(request);
  return state?.kind === 'dispatched' || state?.kind === 'answering'
    ? state
    : undefined;
}
