import {createMapDraft} from '@gentianshunt/board';
import type {View} from '@gentianshunt/board';
import {isQueued, pickQueueKey} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {
  AdmittedRequest,
  ClaimCompletion,
  DispatchedState,
  EntryEffect,
  EntryObservation,
  EntrySections,
  EntryWrite,
  OpenClaim,
  OpenQuotaRequest,
  QueueKey,
  QuotaUsageState,
  RequestState,
  RunningKey,
  SilenceDeadlineKey,
  WaitingKey,
} from '@gentianshunt/entryModel';
import type {MonotonicTime} from '@gentianshunt/clock';
import type {
  EndpointSetId,
  NodeId,
  QuotaAccountId,
  RequestId,
} from '@gentianshunt/identifiers';
import type {RateBucket} from '@gentianshunt/limits';

/** The sections that the lifecycle controller writes. */
export type LifecycleSections =
  | 'requests'
  | 'waiting'
  | 'queues'
  | 'dispatches'
  | 'running'
  | 'openClaims'
  | 'claimCompletions'
  | 'silenceDeadlines'
  | 'quotaUsage'
  | 'openQuotaRequests'
  | 'awaitedTests'
  | 'silentQuotaOwners'
  | 'retryBudgets';

/** The sections that the lifecycle controller reads. */
export type LifecycleReads =
  | LifecycleSections
  | 'startedAt'
  | 'identity'
  | 'service'
  | 'control'
  | 'configuration'
  | 'matches'
  | 'acceptedReply'
  | 'withdrawnEndpoints'
  | 'quarantines'
  | 'streamOrigins'
  | 'originInquiries'
  | 'soundParts'
  | 'soundRequests'
  | 'brokenRuns'
  | 'reach'
  | 'setDemands'
  | 'arrivalRates'
  | 'dispatchRates';

/** The board as the lifecycle controller sees it. */
export type LifecycleView = View<
  EntrySections,
  LifecycleReads,
  EntryObservation
>;

type LifecycleWrite = EntryWrite<LifecycleSections>;

/**
 * Collects the board writes of one controller run. Later steps of the run read
 * the states and counts that earlier steps have drafted.
 */
export interface RequestDraft {
  read(request: RequestId): RequestState | undefined;
  /** Changes the state of a request and updates the sections that index it. */
  move(state: RequestState): void;
  /** Removes an ended request from the board and its indexes. */
  remove(request: RequestId): void;
  addEffect(effect: EntryEffect): void;
  putOpenClaim(request: RequestId, claim: OpenClaim): void;
  putCompletion(completion: ClaimCompletion): void;
  readQuota(account: QuotaAccountId): QuotaUsageState | undefined;
  putQuota(account: QuotaAccountId, state: QuotaUsageState): void;
  putOpenQuotaRequest(openRequest: OpenQuotaRequest): void;
  /** Records until when a request waits for the permission to test. */
  putAwaitedTest(request: RequestId, until: MonotonicTime): void;
  putSilentOwner(owner: NodeId, until: MonotonicTime): void;
  removeSilentOwner(owner: NodeId): void;
  readRetryBudget(set: EndpointSetId): RateBucket | undefined;
  putRetryBudget(set: EndpointSetId, bucket: RateBucket): void;
  removeCompletion(request: RequestId): void;
  listWrites(): readonly LifecycleWrite[];
}

/** Creates a draft over a view of the board. */
export function createRequestDraft(view: LifecycleView): RequestDraft {
  const {board} = view;
  const writes: LifecycleWrite[] = [];
  const states = new Map<RequestId, RequestState | undefined>();
  const quotas = createMapDraft(board.quotaUsage);
  const retryBudgets = createMapDraft(board.retryBudgets);
  const queueCounts = createCounter<QueueKey>(
    key => board.queues.get(key)?.count ?? 0,
    key => `${key.set}/${key.rank}/${key.organisation}`,
  );
  const runningCounts = createCounter<RunningKey>(
    key => board.running.get(key)?.count ?? 0,
    key => `${key.set}/${key.endpoint}/${key.organisation}`,
  );
  const read = (request: RequestId): RequestState | undefined =>
    states.has(request) ? states.get(request) : board.requests.get(request);
  const removeFromIndexes = (state: RequestState): void => {
    if (isQueued(state)) {
      const key = toWaitingKey(state.request);
      writes.push({kind: 'delete', section: 'waiting', key});
      queueCounts.add(pickQueueKey(key), -1);
    }
    if (hasSlot(state)) {
      runningCounts.add(toRunningKey(state), -1);
    }
  };
  const addToIndexes = (state: RequestState): void => {
    if (isQueued(state)) {
      const key = toWaitingKey(state.request);
      writes.push({
        kind: 'put',
        section: 'waiting',
        key,
        value: state.request,
      });
      queueCounts.add(pickQueueKey(key), 1);
    }
    if (hasSlot(state)) {
      runningCounts.add(toRunningKey(state), 1);
    }
  };
  const updateDispatchIndex = (
    before: RequestState | undefined,
    after: RequestState | undefined,
  ): void => {
    const old = before !== undefined && hasSlot(before) ? before : undefined;
    const next = after !== undefined && hasSlot(after) ? after : undefined;
    if (old !== undefined && next?.dispatch.id !== old.dispatch.id) {
      const key = old.dispatch.id;
      writes.push({kind: 'delete', section: 'dispatches', key});
    }
    if (next !== undefined && next.dispatch.id !== old?.dispatch.id) {
      writes.push({
        kind: 'put',
        section: 'dispatches',
        key: next.dispatch.id,
        value: next.request.id,
      });
    }
  };
  const updateSilenceIndex = (
    before: RequestState | undefined,
    after: RequestState | undefined,
  ): void => {
    const old = before === undefined ? undefined : toSilenceKey(before);
    const next = after === undefined ? undefined : toSilenceKey(after);
    if (old !== undefined && old.silentAt !== next?.silentAt) {
      writes.push({kind: 'delete', section: 'silenceDeadlines', key: old});
    }
    if (next !== undefined && next.silentAt !== old?.silentAt) {
      const value = next.request;
      writes.push({kind: 'put', section: 'silenceDeadlines', key: next, value});
    }
  };
  // Deletes the open claim once its request no longer waits for the answer.
  const removeOpenClaim = (
    before: RequestState | undefined,
    after: RequestState | undefined,
  ): void => {
    const wasOpen = before !== undefined && isAwaitingClaim(before);
    const isOpen = after !== undefined && isAwaitingClaim(after);
    if (wasOpen && !isOpen) {
      const key = before.request.id;
      writes.push({kind: 'delete', section: 'openClaims', key});
    }
  };
  return {
    read,
    move: state => {
      const before = read(state.request.id);
      if (before !== undefined) {
        removeFromIndexes(before);
        writes.push(...listWaitRemovals(before, state));
      }
      addToIndexes(state);
      updateDispatchIndex(before, state);
      updateSilenceIndex(before, state);
      removeOpenClaim(before, state);
      states.set(state.request.id, state);
      const key = state.request.id;
      writes.push({kind: 'put', section: 'requests', key, value: state});
    },
    remove: request => {
      const before = read(request);
      if (before === undefined) {
        return;
      }
      removeFromIndexes(before);
      writes.push(...listWaitRemovals(before));
      updateDispatchIndex(before, undefined);
      updateSilenceIndex(before, undefined);
      removeOpenClaim(before, undefined);
      states.set(request, undefined);
      writes.push({kind: 'delete', section: 'requests', key: request});
    },
    addEffect: effect => writes.push({kind: 'effect', effect}),
    putOpenClaim: (key, value) =>
      writes.push({kind: 'put', section: 'openClaims', key, value}),
    putCompletion: value => {
      const key = value.request;
      writes.push({kind: 'put', section: 'claimCompletions', key, value});
    },
    removeCompletion: key =>
      writes.push({kind: 'delete', section: 'claimCompletions', key}),
    readQuota: quotas.get,
    putQuota: quotas.put,
    putOpenQuotaRequest: value => {
      const key = value.request;
      writes.push({kind: 'put', section: 'openQuotaRequests', key, value});
    },
    putAwaitedTest: (key, value) =>
      writes.push({kind: 'put', section: 'awaitedTests', key, value}),
    putSilentOwner: (key, value) =>
      writes.push({kind: 'put', section: 'silentQuotaOwners', key, value}),
    removeSilentOwner: key =>
      writes.push({kind: 'delete', section: 'silentQuotaOwners', key}),
    readRetryBudget: retryBudgets.get,
    putRetryBudget: retryBudgets.put,
    listWrites: () => [
      ...writes,
      ...quotas.listWrites('quotaUsage' as const),
      ...retryBudgets.listWrites('retryBudgets' as const),
      ...queueCounts
        .listChanges()
        .map(({key, count}) => toQueueCountWrite(key, count)),
      ...runningCounts
        .listChanges()
        .map(({key, count}) => toRunningCountWrite(key, count)),
    ],
  };
}

/** The states in which a request occupies capacity of an endpoint. */
type SlotHolder =
  DispatchedState | Extract<RequestState, {readonly kind: 'claiming'}>;

function hasSlot(state: RequestState): state is SlotHolder {
  return (
    state.kind === 'claiming' ||
    state.kind === 'dispatched' ||
    state.kind === 'answering'
  );
}

/** Deletes what a request no longer waits for: a quota decision or a test. */
function listWaitRemovals(
  before: RequestState,
  after?: RequestState,
): readonly LifecycleWrite[] {
  if (before.kind === after?.kind) {
    return [];
  }
  const key = before.request.id;
  switch (before.kind) {
    case 'awaitingAllotment':
      return [{kind: 'delete', section: 'openQuotaRequests', key}];
    case 'awaitingTest':
      return [{kind: 'delete', section: 'awaitedTests', key}];
    case 'awaitingOrigin':
    case 'waiting':
    case 'repeating':
    case 'claiming':
    case 'awaitingOutcome':
    case 'dispatched':
    case 'answering':
    case 'relayed':
      return [];
    default:
      return assertNever(before, 'listWaitRemovals');
  }
}

function isAwaitingClaim(state: RequestState): boolean {
  return state.kind === 'claiming' || state.kind === 'awaitingOutcome';
}

function toSilenceKey(state: RequestState): SilenceDeadlineKey | undefined {
  return state.kind === 'dispatched' || state.kind === 'answering'
    ? {silentAt: state.silentAt, request: state.request.id}
    : undefined;
}

/** Makes the key of a queued request in the section `waiting`. */
export function toWaitingKey(request: AdmittedRequest): WaitingKey {
  return {
    set: request.set,
    rank: request.rank,
    organisation: request.organisation,
    arrivedAt: request.arrivedAt,
    request: request.id,
  };
}

function toRunningKey(state: SlotHolder): RunningKey {
  return {
    set: state.request.set,
    endpoint: state.dispatch.target.endpoint,
    organisation: state.request.organisation,
  };
}

function toQueueCountWrite(key: QueueKey, count: number): LifecycleWrite {
  return count === 0
    ? {kind: 'delete', section: 'queues', key}
    : {kind: 'put', section: 'queues', key, value: {count}};
}

function toRunningCountWrite(key: RunningKey, count: number): LifecycleWrite {
  return count === 0
    ? {kind: 'delete', section: 'running', key}
    : {kind: 'put', section: 'running', key, value: {count}};
}

/** The new count of a key. */
interface CountChange<Key> {
  readonly key: Key;
  readonly count: number;
}

/** Counts on top of those on the board. */
interface Counter<Key> {
  add(key: Key, difference: number): void;
  listChanges(): readonly CountChange<Key>[];
}

function createCounter<Key>(
  readCount: (key: Key) => number,
  formatKey: (key: Key) => string,
): Counter<Key> {
  const changes = new Map<string, CountChange<Key>>();
  return {
    add: (key, difference) => {
      const text = formatKey(key);
      const count = changes.get(text)?.count ?? readCount(key);
      changes.set(text, {key, count: count + difference});
    },
    // A count that returned to its value on the board is not written.
    listChanges: () =>
      [...changes.values()].filter(({key, count}) => count !== readCount(key)),
  };
}
