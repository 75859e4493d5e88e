import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {
  EndpointCrash,
  Fingerprint,
  SoundRuns,
  Suspect,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {
  EndpointSetId,
  FingerprintId,
  NodeId,
} from '@gentianshunt/identifiers';

import {listSuspectedRuns} from './crashRecords.js';
import {computeRecentWeight} from './soundUse.js';
import {isBlamed, NEGLIGIBLE_SOUND_RUNS} from './suspicionRules.js';
import type {CrashCounts} from './suspicionRules.js';

/** Time after which all entries have reported their runs of a crash. */
const REPORT_MS: Milliseconds = 250;
/** Endpoints that fail within this time may have a common cause. */
const COMMON_CAUSE_MS: Milliseconds = 250;

/** Counts the sound answers of all entries with a fingerprint. */
export type SoundCounter = (fingerprint: Fingerprint) => SoundRuns;

/** A fingerprint that crashes endpoints, by the evidence of all entries. */
export interface DecidedSuspect {
  readonly fingerprint: Fingerprint;
  /** The set of the latest crash. */
  readonly set: EndpointSetId;
  readonly crashes: number;
  readonly reporters: number;
}

/** What is known when suspects are decided. */
export interface SuspectQuery {
  readonly crashes: readonly EndpointCrash[];
  readonly countSoundRuns: SoundCounter;
  /** Returns whether a fingerprint is quarantined already. */
  readonly isQuarantined: (id: FingerprintId) => boolean;
  readonly now: MonotonicTime;
}

/** What is known of one suspected fingerprint. */
interface Evidence {
  readonly fingerprint: Fingerprint;
  /** Index of the first crash in which it was involved. */
  readonly firstIndex: number;
  readonly reporters: Set<NodeId>;
  set: EndpointSetId;
  crashes: number;
  /** Crashes in which no other run was suspected. */
  crashesAlone: number;
  /** Crashes that had others shortly before count once with them. */
  moments: number;
  recentMoments: number;
  lastMomentAt: MonotonicTime;
}

/** Lists whole requests that were in more than one crash. */
function listRecurringRequests(
  crashes: readonly EndpointCrash[],
): readonly Fingerprint[] {
  const found = new Map<FingerprintId, EndpointCrash>();
  const recurring = new Map<FingerprintId, Fingerprint>();
  for (const crash of crashes) {
    for (const {fingerprint} of crash.runs.flatMap(run => run.suspects)) {
      if (fingerprint.kind !== 'request') {
        continue;
      }
      const first = found.get(fingerprint.id);
      found.set(fingerprint.id, first ?? crash);
      if (first !== undefined && first !== crash) {
        recurring.set(fingerprint.id, fingerprint);
      }
    }
  }
  return [...recurring.values()];
}

/**
 * Decides which of some prompt parts are to be held: those involved in several
 * crashes and hardly ever in a sound answer.
 */
export function decideParts(
  candidates: readonly Fingerprint[],
  query: SuspectQuery,
): readonly DecidedSuspect[] {
  return listBlamed('promptPart', candidates, query.crashes, query).map(
    toDecidedSuspect,
  );
}

/**
 * Decides which whole requests are to be held, once all runs of a crash are
 * known. A crash that a held fingerprint explains does not count for others, so
 * that the requests that ran beside it are not blamed.
 */
export function decideRequests(query: SuspectQuery): readonly DecidedSuspect[] {
  const {crashes, isQuarantined, now} = query;
  const recurring = listRecurringRequests(crashes);
  const decided: DecidedSuspect[] = [];
  let open = crashes.filter(
    crash =>
      now - crash.at >= REPORT_MS && !hasFingerprint(crash, isQuarantined),
  );
  for (;;) {
    const [worst] = listBlamed('request', recurring, open, query).sort(
      compareBlame,
    );
    if (worst === undefined) {
      return decided;
    }
    decided.push(toDecidedSuspect(worst));
    const {id} = worst.fingerprint;
    open = open.filter(crash => !hasFingerprint(crash, other => other === id));
  }
}

function hasFingerprint(
  {runs}: EndpointCrash,
  isWanted: (id: FingerprintId) => boolean,
): boolean {
  return runs.some(({suspects}) =>
    suspects.some(({fingerprint}) => isWanted(fingerprint.id)),
  );
}

/** Orders evidence by its strength, the strongest first. */
function compareBlame(left: Evidence, right: Evidence): number {
  return right.crashesAlone - left.crashesAlone || right.crashes - left.crashes;
}

function toDecidedSuspect({
  fingerprint,
  set,
  crashes,
  reporters,
}: Evidence): DecidedSuspect {
  return {fingerprint, set, crashes, reporters: reporters.size};
}

function toIdFilter(
  fingerprints: readonly Fingerprint[],
): (id: FingerprintId) => boolean {
  const ids = new Set(fingerprints.map(({id}) => id));
  return id => ids.has(id);
}

function listBlamed(
  kind: Fingerprint['kind'],
  candidates: readonly Fingerprint[],
  crashes: readonly EndpointCrash[],
  {countSoundRuns, now}: SuspectQuery,
): Evidence[] {
  const own = candidates.filter(fingerprint => fingerprint.kind === kind);
  return own.length === 0
    ? []
    : collectEvidence(kind, toIdFilter(own), crashes, now).filter(evidence =>
        isBlamed(
          kind,
          toCrashCounts(evidence, crashes),
          countSoundRuns(evidence.fingerprint),
        ),
      );
}

function toCrashCounts(
  {firstIndex, ...counts}: Evidence,
  all: readonly EndpointCrash[],
): CrashCounts {
  return {...counts, fraction: counts.crashes / (all.length - firstIndex)};
}

function collectEvidence(
  kind: Fingerprint['kind'],
  isCandidate: (id: FingerprintId) => boolean,
  crashes: readonly EndpointCrash[],
  now: MonotonicTime,
): Evidence[] {
  const evidence = new Map<FingerprintId, Evidence>();
  crashes.forEach((crash, index) => {
    const runs = listSuspectedRuns(crash, kind);
    const involved = new Set<Evidence>();
    for (const {reporter, suspects} of runs) {
      if (!suspects.some(({fingerprint: {id}}) => isCandidate(id))) {
        continue;
      }
      for (const {fingerprint} of pickBlamed(kind, suspects)) {
        const known = evidence.get(fingerprint.id) ?? {
          fingerprint,
          firstIndex: index,
          reporters: new Set<NodeId>(),
          set: crash.set,
          crashes: 0,
          crashesAlone: 0,
          moments: 0,
          recentMoments: 0,
          lastMomentAt: Number.NEGATIVE_INFINITY,
        };
        known.reporters.add(reporter);
        evidence.set(fingerprint.id, known);
        involved.add(known);
      }
    }
    for (const known of involved) {
      known.set = crash.set;
      known.crashes += 1;
      known.crashesAlone += runs.length === 1 ? 1 : 0;
      if (crash.at - known.lastMomentAt >= COMMON_CAUSE_MS) {
        known.moments += 1;
        known.recentMoments += computeRecentWeight(now - crash.at);
        known.lastMomentAt = crash.at;
      }
    }
  });
  return [...evidence.values()];
}

/** Picks the fingerprints of one run that may be blamed for a crash. */
function pickBlamed(
  kind: Fingerprint['kind'],
  suspects: readonly Suspect[],
): readonly Suspect[] {
  const own = suspects.filter(({fingerprint}) => fingerprint.kind === kind);
  switch (kind) {
    case 'promptPart':
      return pickLeastSound(own);
    case 'request':
      return own;
    default:
      return assertNever(kind, 'pickBlamed');
  }
}

/**
 * Picks the parts of one run that were sound least often at its entry. They
 * explain a crash best; the parts that they came with are not blamed for it.
 */
function pickLeastSound(parts: readonly Suspect[]): readonly Suspect[] {
  const counts = parts.map(({lasting}) => lasting);
  const least = Math.max(NEGLIGIBLE_SOUND_RUNS, Math.min(...counts));
  return parts.filter(({lasting}) => lasting <= least);
}
