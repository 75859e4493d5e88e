import type {TurnTime, View} from '@gentianshunt/board';
import type {MonotonicTime} from '@gentianshunt/clock';
import {
  defineEntryController,
  isIsolated,
  NO_REACH_EVIDENCE,
} from '@gentianshunt/entryModel';
import type {
  EndpointTarget,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  Reach,
  ReachEvidence,
  StreamEnd,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import {sortByRendezvous} from '@gentianshunt/hashing';
import type {DispatchId, EndpointId} from '@gentianshunt/identifiers';
import {
  CHECKED_ENDPOINTS,
  hasReturned,
  isCheckDue,
  MAX_CHECK_MS,
  RETURN_CHECK_INTERVAL_MS,
} from '@gentianshunt/policy';

type ReachReads =
  | 'identity'
  | 'requests'
  | 'dispatches'
  | 'knownEndpoints'
  | 'reach'
  | 'reachEvidence';
type ReachWrites = 'reach' | 'reachEvidence';
type ReachView = View<EntrySections, ReachReads, EntryObservation>;
type ReachWrite = EntryWrite<ReachWrites>;

/** The time of the latest byte is recorded no more precisely than this. */
const HEARD_PRECISION_MS = 100;

/** What the end of a stream shows about the connection to its endpoint. */
type ConnectionSign = 'heard' | 'failed' | 'nothing';

/**
 * Creates the controller that finds out whether this entry is cut off from the
 * endpoints. It runs before the controller that removes ended requests.
 */
export function createReachController(): EntryController {
  return defineEntryController<ReachReads, ReachWrites>({
    name: 'reach',
    reads: [
      'identity',
      'requests',
      'dispatches',
      'knownEndpoints',
      'reach',
      'reachEvidence',
    ],
    writes: ['reach', 'reachEvidence'],
    observes: [
      'streamStarted',
      'tokensStreamed',
      'streamEnded',
      'endpointProbed',
      'timerDue',
    ],
    run: (view, now) => handleObservation(view, now),
  });
}

function handleObservation(
  view: ReachView,
  now: TurnTime,
): readonly ReachWrite[] {
  const {observation} = view;
  const evidence = view.board.reachEvidence;
  switch (observation?.kind) {
    case 'streamStarted':
    case 'tokensStreamed':
      return recordHeard(evidence, now);
    case 'streamEnded':
      return recordEnd(view, observation.dispatch, observation.end, now);
    case 'endpointProbed':
      return handleProbe(
        view,
        observation.endpoint,
        observation.isReached,
        now,
      );
    case 'timerDue':
      return observation.timer.kind === 'housekeeping'
        ? checkReach(view, evidence, now)
        : [];
    default:
      return [];
  }
}

function recordHeard(
  evidence: ReachEvidence,
  now: TurnTime,
): readonly ReachWrite[] {
  return now.monotonic - evidence.heardAt < HEARD_PRECISION_MS
    ? []
    : [setEvidence({...evidence, heardAt: now.monotonic})];
}

function recordEnd(
  view: ReachView,
  dispatch: DispatchId,
  end: StreamEnd,
  now: TurnTime,
): readonly ReachWrite[] {
  const evidence = view.board.reachEvidence;
  const sign = readSign(end);
  switch (sign) {
    case 'heard':
      return recordHeard(evidence, now);
    case 'nothing':
      return [];
    case 'failed': {
      const endpoint = findEndpoint(view, dispatch);
      if (endpoint === undefined) {
        return [];
      }
      const known = addFailure(evidence, endpoint, now);
      return [setEvidence(known), ...checkReach(view, known, now)];
    }
    default:
      return assertNever(sign, 'recordEnd');
  }
}

function readSign(end: StreamEnd): ConnectionSign {
  switch (end.kind) {
    case 'notSent':
      return 'failed';
    case 'cut':
      return end.progress === 'awaitingHead' ? 'failed' : 'nothing';
    case 'withheld':
      return 'nothing';
    case 'complete':
    case 'rejected':
    case 'notExecuted':
    case 'failed':
      return 'heard';
    default:
      return assertNever(end, 'readSign');
  }
}

function findEndpoint(
  {board}: ReachView,
  dispatch: DispatchId,
): EndpointId | undefined {
  const request = board.dispatches.get(dispatch);
  const state = request === undefined ? undefined : board.requests.get(request);
  return state?.kind === 'dispatched' || state?.kind === 'answering'
    ? state.dispatch.target.endpoint
    : undefined;
}

function addFailure(
  evidence: ReachEvidence,
  endpoint: EndpointId,
  now: TurnTime,
): ReachEvidence {
  const failed = new Map(evidence.failed).set(endpoint, now.monotonic);
  return {...evidence, failed};
}

function setEvidence(value: ReachEvidence): ReachWrite {
  return {kind: 'set', section: 'reachEvidence', value};
}

/** Starts or ends a check, if one is due. */
function checkReach(
  view: ReachView,
  evidence: ReachEvidence,
  now: TurnTime,
): readonly ReachWrite[] {
  const {reach} = view.board;
  const {heardAt, failed, checkedAt} = evidence;
  const sinceCheckMs = now.monotonic - checkedAt;
  switch (reach.kind) {
    case 'reaching':
      return isCheckDue({
        now: now.monotonic,
        checkedAt,
        heardAt,
        oldestSentAt: findOldestSent(view),
        failedAt: [...failed.values()],
      })
        ? startCheck(view, evidence, now)
        : [];
    case 'checking':
      return sinceCheckMs >= MAX_CHECK_MS ? endCheck(view, now) : [];
    case 'isolated':
      return sinceCheckMs >= RETURN_CHECK_INTERVAL_MS
        ? checkSome(view, evidence, listTargets(view), now)
        : [];
    default:
      return assertNever(reach, 'checkReach');
  }
}

/** Finds when the oldest request without a byte of its answer was sent. */
function findOldestSent({board}: ReachView): MonotonicTime | null {
  let oldest: MonotonicTime | null = null;
  for (const request of board.dispatches.values()) {
    const state = board.requests.get(request);
    if (state?.kind === 'dispatched') {
      oldest = Math.min(oldest ?? state.dispatch.at, state.dispatch.at);
    }
  }
  return oldest;
}

/** Connects to endpoints at which nothing failed lately, or to any without these. */
function startCheck(
  view: ReachView,
  evidence: ReachEvidence,
  now: TurnTime,
): readonly ReachWrite[] {
  const known = listTargets(view);
  const others = known.filter(({endpoint}) => !evidence.failed.has(endpoint));
  const value = {kind: 'checking', since: now.monotonic} as const;
  return known.length === 0
    ? []
    : [
        {kind: 'set', section: 'reach', value},
        ...checkSome(view, evidence, others.length > 0 ? others : known, now),
      ];
}

function checkSome(
  view: ReachView,
  evidence: ReachEvidence,
  known: readonly EndpointTarget[],
  now: TurnTime,
): readonly ReachWrite[] {
  const targets = pickTargets(view, known, now);
  const awaited = new Set(targets.map(({endpoint}) => endpoint));
  return [
    setEvidence({...evidence, checkedAt: now.monotonic, awaited}),
    ...targets.map(createProbe),
  ];
}

function createProbe(target: EndpointTarget): ReachWrite {
  return {kind: 'effect', effect: {kind: 'probeEndpoint', target}};
}

/** Lists the endpoints of all sets that this entry knows. */
function listTargets({board}: ReachView): readonly EndpointTarget[] {
  const targets = new Map<EndpointId, EndpointTarget>();
  for (const {endpoints} of board.knownEndpoints.values()) {
    endpoints.forEach(({target}) => targets.set(target.endpoint, target));
  }
  return [...targets.values()];
}

/** Picks other endpoints at each time and entry. */
function pickTargets(
  {board}: ReachView,
  targets: readonly EndpointTarget[],
  now: TurnTime,
): readonly EndpointTarget[] {
  const key = `${board.identity.address.node}/${now.monotonic}`;
  const sorted = sortByRendezvous(key, targets, ({endpoint}) => endpoint);
  return sorted.slice(0, CHECKED_ENDPOINTS);
}

function handleProbe(
  view: ReachView,
  endpoint: EndpointId,
  isReached: boolean,
  now: TurnTime,
): readonly ReachWrite[] {
  const {reach, reachEvidence} = view.board;
  if (reach.kind === 'reaching' || !reachEvidence.awaited.has(endpoint)) {
    return [];
  }
  const awaited = new Set(reachEvidence.awaited);
  awaited.delete(endpoint);
  const evidence = {
    ...(isReached ? reachEvidence : addFailure(reachEvidence, endpoint, now)),
    awaited,
  };
  return reach.kind === 'checking'
    ? resolveCheck(view, evidence, isReached, now)
    : resolveReturn(view, evidence, endpoint, isReached, now);
}

/** One endpoint that is reached is enough; if none is, the entry is isolated. */
function resolveCheck(
  view: ReachView,
  evidence: ReachEvidence,
  isReached: boolean,
  now: TurnTime,
): readonly ReachWrite[] {
  if (isReached) {
    return endCheck(view, now);
  }
  return [
    setEvidence(evidence),
    ...(evidence.awaited.size > 0
      ? []
      : changeReach(view, {kind: 'isolated', since: now.monotonic}, now)),
  ];
}

function resolveReturn(
  view: ReachView,
  evidence: ReachEvidence,
  endpoint: EndpointId,
  isReached: boolean,
  now: TurnTime,
): readonly ReachWrite[] {
  const reached = isReached
    ? new Set(evidence.reached).add(endpoint)
    : new Set<EndpointId>();
  return hasReturned(reached.size, listTargets(view).length)
    ? endCheck(view, now)
    : [setEvidence({...evidence, reached})];
}

/** Ends a check, or the isolation: the entry reaches endpoints. */
function endCheck(view: ReachView, now: TurnTime): readonly ReachWrite[] {
  const {heardAt} = view.board.reachEvidence;
  const checkedAt = now.monotonic;
  return [
    setEvidence({...NO_REACH_EVIDENCE, heardAt, checkedAt}),
    ...changeReach(view, {kind: 'reaching'}, now),
  ];
}

/** Changes the state, and records when the entry becomes isolated or returns. */
function changeReach(
  {board}: ReachView,
  value: Reach,
  now: TurnTime,
): readonly ReachWrite[] {
  const {reach, reachEvidence} = board;
  const change: ReachWrite = {kind: 'set', section: 'reach', value};
  if (isIsolated(value) === isIsolated(reach)) {
    return [change];
  }
  const silentMs = now.monotonic - reachEvidence.heardAt;
  const decision = {
    kind: 'reachChanged',
    reach: value.kind,
    before: reach.kind,
    lastedMs: 'since' in reach ? now.monotonic - reach.since : null,
    failed: reachEvidence.failed.size,
    silentMs: Number.isFinite(silentMs) ? silentMs : null,
  } as const;
  return [change, {kind: 'effect', effect: {kind: 'logDecision', decision}}];
}
