import type {MapDraft, OrderedDraft, View} from '@gentianshunt/board';
import type {
  EntryEffect,
  EntryObservation,
  EntrySections,
  EntryWrite,
  Quarantine,
  SoundUseKey,
  SoundUse,
} from '@gentianshunt/entryModel';
import type {FingerprintId} from '@gentianshunt/identifiers';

/** The board sections that the quarantine controller writes. */
export const QUARANTINE_SECTIONS = [
  'endpointCrashes',
  'reportedSoundUse',
  'quarantines',
  'quarantineExchange',
] as const;
export type QuarantineSections = (typeof QUARANTINE_SECTIONS)[number];

/** The board sections that the quarantine controller reads. */
export const QUARANTINE_READS = [
  ...QUARANTINE_SECTIONS,
  'identity',
  'control',
  'configuration',
  'requests',
  'dispatches',
  'soundParts',
  'soundRequests',
] as const;
export type QuarantineReads = (typeof QUARANTINE_READS)[number];

/** The board as the quarantine controller sees it. */
export type QuarantineView = View<
  EntrySections,
  QuarantineReads,
  EntryObservation
>;
export type QuarantineWrite = EntryWrite<QuarantineSections>;
export type QuarantineDraft = MapDraft<FingerprintId, Quarantine>;
export type SoundUseDraft = OrderedDraft<SoundUseKey, SoundUse>;

/** Requests an effect. */
export function toEffectWrite(effect: EntryEffect): QuarantineWrite {
  return {kind: 'effect', effect};
}
