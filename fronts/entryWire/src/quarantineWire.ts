import {toFingerprint} from '@gentianshunt/entryModel';
import type {
  AnswerProgress,
  Fingerprint,
  ReportedBrokenRun,
  ReportedQuarantine,
  ReportedSoundUse,
  Suspect,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {
  EndpointId,
  EndpointSetId,
  FingerprintId,
  NodeId,
} from '@gentianshunt/identifiers';

import {readRecords} from './wireReader.js';
import type {WireReader} from './wireReader.js';

/** Decaying counts are sent as whole thousandths. */
const COUNT_SCALE = 1_000;
/** The progress of an answer, by its number on the wire. */
const PROGRESS: readonly AnswerProgress[] = [
  'awaitingHead',
  'awaitingFirstEvent',
  'delivering',
];
/** The states of a quarantine, by their numbers on the wire. */
const STATES = ['held', 'testing', 'lifted'] as const;

/** Encodes broken runs, each as an array. */
export function encodeBrokenRuns(
  runs: readonly ReportedBrokenRun[],
): readonly unknown[] {
  return runs.map(({endpoint, ageMs, progress, suspects}) => [
    endpoint,
    Math.round(ageMs),
    PROGRESS.indexOf(progress),
    suspects.flatMap(encodeSuspect),
  ]);
}

/** Decodes and validates broken runs. */
export function decodeBrokenRuns(
  reader: WireReader,
): readonly ReportedBrokenRun[] {
  return readRecords(reader, list => {
    const run = list.readList();
    return {
      endpoint: run.readIdentifier<EndpointId>(),
      ageMs: run.readCount(),
      progress: run.readReference(PROGRESS),
      suspects: readRecords(run.readList(), decodeSuspect),
    };
  });
}

/** Encodes sound answers by fingerprint. */
export function encodeSoundUse(
  uses: readonly ReportedSoundUse[],
): readonly unknown[] {
  return uses.flatMap(use => [
    ...encodeSuspect(use),
    use.isUnderQuarantine ? 1 : 0,
  ]);
}

/** Decodes and validates sound answers by fingerprint. */
export function decodeSoundUse(
  reader: WireReader,
): readonly ReportedSoundUse[] {
  return readRecords(reader, list => ({
    ...decodeSuspect(list),
    isUnderQuarantine: list.readCount() === 1,
  }));
}

/** Encodes quarantines, each as an array. */
export function encodeQuarantines(
  quarantines: readonly ReportedQuarantine[],
): readonly unknown[] {
  return quarantines.map(({state, ...quarantine}) => [
    quarantine.fingerprint.id,
    quarantine.set,
    quarantine.revision,
    Math.round(quarantine.ageMs),
    quarantine.level,
    quarantine.crashes,
    quarantine.reporters,
    STATES.indexOf(state.kind),
    Math.round(state.remainingMs),
    ...encodeStateFields(state),
  ]);
}

function encodeStateFields(
  state: ReportedQuarantine['state'],
): readonly unknown[] {
  switch (state.kind) {
    case 'held':
      return [Math.round(state.startsInMs)];
    case 'testing':
      return [state.tester];
    case 'lifted':
      return [];
    default:
      return assertNever(state, 'encodeStateFields');
  }
}

/** Decodes and validates quarantines. */
export function decodeQuarantines(
  reader: WireReader,
): readonly ReportedQuarantine[] {
  return readRecords(reader, list => {
    const quarantine = list.readList();
    return {
      fingerprint: decodeFingerprint(quarantine),
      set: quarantine.readIdentifier<EndpointSetId>(),
      revision: quarantine.readCount(),
      ageMs: quarantine.readCount(),
      level: quarantine.readCount(),
      crashes: quarantine.readCount(),
      reporters: quarantine.readCount(),
      state: decodeState(quarantine),
    };
  });
}

function decodeState(reader: WireReader): ReportedQuarantine['state'] {
  const kind = reader.readReference(STATES);
  const remainingMs = reader.readCount();
  switch (kind) {
    case 'held':
      return {kind, remainingMs, startsInMs: reader.readCount()};
    case 'testing':
      return {kind, remainingMs, tester: reader.readIdentifier<NodeId>()};
    case 'lifted':
      return {kind, remainingMs};
    default:
      return assertNever(kind, 'decodeState');
  }
}

function encodeSuspect({
  fingerprint,
  lasting,
  recent,
}: Suspect): readonly unknown[] {
  return [
    fingerprint.id,
    Math.round(lasting * COUNT_SCALE),
    Math.round(recent * COUNT_SCALE),
  ];
}

function decodeFingerprint(reader: WireReader): Fingerprint {
  return toFingerprint(reader.readIdentifier<FingerprintId>());
}

function decodeSuspect(reader: WireReader): Suspect {
  return {
    fingerprint: decodeFingerprint(reader),
    lasting: reader.readCount() / COUNT_SCALE,
    recent: reader.readCount() / COUNT_SCALE,
  };
}
