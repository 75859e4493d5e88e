import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  createDecisionWrite,
  defineControlController,
} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlDecision,
  ControlObservation,
  ControlSections,
  ReleaseRecord,
} from '@gentianshunt/controlModel';
import type {LogIndex} from '@gentianshunt/messages';

import {createReleaseDraft} from './releaseDraft.js';
import type {ReleaseDraft} from './releaseDraft.js';
import {findInForce, listLagging} from './releaseForce.js';
import type {ForceReads} from './releaseForce.js';

/** Time after which the decision log says which entries lag. */
export const RELEASE_LAG_MS: Milliseconds = 1_000;
/** Most lagging entries that one line names. */
const MAX_LAGGING_NODES = 16;

type ReleaseReads =
  | ForceReads
  | 'ballot'
  | 'log'
  | 'source'
  | 'configuration'
  | 'history'
  | 'releases';
type ReleaseView = View<ControlSections, ReleaseReads, ControlObservation>;
type Decisions = readonly ControlDecision[];

/**
 * Creates the controller that records when each release was proposed, applied
 * and in force.
 */
export function createReleaseController(): ControlController {
  return defineControlController<ReleaseReads, 'releases'>({
    name: 'releases',
    reads: [
      'role',
      'ballot',
      'leadership',
      'log',
      'applied',
      'source',
      'configuration',
      'history',
      'sessions',
      'sessionVersions',
      'releases',
    ],
    writes: ['releases'],
    observes: ['timerDue'],
    run: (view, now) => {
      if (isSettled(view)) {
        return [];
      }
      const draft = createReleaseDraft(view.board.releases);
      const decisions = [
        ...recordProposed(view, draft, now),
        ...recordApplied(view, draft, now),
        ...recordInForce(view, draft, now),
      ];
      return [...draft.listWrites(), ...decisions.map(createDecisionWrite)];
    },
  });
}

/**
 * Returns whether there is nothing to record: no new entry, and the latest
 * release, and thus each one before it, is in force already.
 */
function isSettled(view: ReleaseView): boolean {
  const latest = view.board.releases.readLast();
  return (
    view.readChanges('log').size === 0 &&
    view.readChanges('applied').size === 0 &&
    (latest === undefined || latest.value.inForceAt !== null)
  );
}

/** Records the releases that were appended to the log, or removed from it. */
function recordProposed(
  view: ReleaseView,
  draft: ReleaseDraft,
  now: TurnTime,
): Decisions {
  const {log, role, ballot} = view.board;
  const decisions: ControlDecision[] = [];
  for (const key of view.readChanges('log')) {
    const index = key as LogIndex;
    const entry = log.get(index);
    draft.dropUnapplied(index);
    if (entry?.payload.kind !== 'replaceConfiguration') {
      continue;
    }
    const {version: release, source} = entry.payload.replacement;
    const bytes = source.length;
    const isProposed = role.kind === 'leader' && entry.term === ballot.term;
    draft.put({
      release,
      index,
      bytes,
      proposedAt: isProposed ? now.monotonic : null,
      appliedAt: null,
      inForceAt: null,
      isLagLogged: false,
    });
    if (isProposed) {
      decisions.push({kind: 'releaseProposed', release, index, bytes});
    }
  }
  return decisions;
}

/** Records the releases that have been applied, or superseded by a later one. */
function recordApplied(
  view: ReleaseView,
  draft: ReleaseDraft,
  now: TurnTime,
): Decisions {
  const {applied, source} = view.board;
  if (view.readChanges('applied').size === 0) {
    return [];
  }
  const decisions: ControlDecision[] = [];
  let held = draft.readHeldRelease();
  for (const record of draft.listUnapplied()) {
    const {release, index} = record;
    if (index > applied.index) {
      break;
    }
    if (release > held && release <= source.version) {
      held = release;
      draft.put({...record, appliedAt: now.monotonic});
      decisions.push(describeApplied(view, record, now));
    } else {
      draft.drop(index);
      decisions.push({
        kind: 'releaseSuperseded',
        release,
        index,
        heldRelease: held,
      });
    }
  }
  return held < source.version
    ? [...decisions, ...recordRestored(view, draft, now)]
    : decisions;
}

/** Records a release that a snapshot contains. */
function recordRestored(
  view: ReleaseView,
  draft: ReleaseDraft,
  now: TurnTime,
): Decisions {
  const {applied, source} = view.board;
  const record: ReleaseRecord = {
    release: source.version,
    // Its own log entry may be discarded; this version contains it as well.
    index: applied.version,
    bytes: source.document.length,
    proposedAt: null,
    appliedAt: now.monotonic,
    inForceAt: null,
    isLagLogged: false,
  };
  draft.put(record);
  return [describeApplied(view, record, now)];
}

function describeApplied(
  {board}: ReleaseView,
  {release, index, proposedAt}: ReleaseRecord,
  now: TurnTime,
): ControlDecision {
  return {
    kind: 'releaseApplied',
    release,
    index,
    objects: board.configuration.size,
    changedObjects: board.history.get(index)?.length ?? null,
    sinceProposedMs: computeAge(proposedAt, now),
  };
}

function computeAge(since: number | null, now: TurnTime): Milliseconds | null {
  return since === null ? null : now.monotonic - since;
}

/** Records at the leader which releases are in force, and which lag. */
function recordInForce(
  view: ReleaseView,
  draft: ReleaseDraft,
  now: TurnTime,
): Decisions {
  if (view.board.role.kind !== 'leader') {
    return [];
  }
  const pending = draft.listAppliedNotInForce();
  if (pending.length === 0) {
    return [];
  }
  const inForce = findInForce(view.board, now);
  return pending.flatMap((record): Decisions => {
    if (record.index <= inForce) {
      draft.put({...record, inForceAt: now.monotonic});
      return [describeInForce(view, record, now)];
    }
    const sinceAppliedMs = now.monotonic - record.appliedAt;
    if (record.isLagLogged || sinceAppliedMs < RELEASE_LAG_MS) {
      return [];
    }
    draft.put({...record, isLagLogged: true});
    return [describeLagging(view, record, sinceAppliedMs, now)];
  });
}

function describeInForce(
  {board}: ReleaseView,
  record: ReleaseRecord & {readonly appliedAt: number},
  now: TurnTime,
): ControlDecision {
  const {release, index, proposedAt, appliedAt} = record;
  return {
    kind: 'releaseInForce',
    release,
    index,
    entries: board.sessions.size,
    sinceProposedMs: computeAge(proposedAt, now),
    sinceAppliedMs: now.monotonic - appliedAt,
  };
}

function describeLagging(
  {board}: ReleaseView,
  {release, index}: ReleaseRecord,
  sinceAppliedMs: Milliseconds,
  now: TurnTime,
): ControlDecision {
  const {nodes, settlingMs} = listLagging(board, index, now);
  return {
    kind: 'releaseLagging',
    release,
    index,
    sinceAppliedMs,
    settlingMs,
    lagging: nodes.length,
    nodes: nodes.slice(0, MAX_LAGGING_NODES),
  };
}
