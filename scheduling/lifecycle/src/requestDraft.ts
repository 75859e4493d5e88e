import {createMapDraft} from '@gentianshunt/board';
import type {View} from '@gentianshunt/board';
import {isQueued, pickLine} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  AllotmentState,
  DispatchedState,
  EntryObservation,
  EntryOrder,
  EntrySections,
  EntryWrite,
  LineKey,
  OpenAsk,
  OpenClaim,
  RequestState,
  RunningKey,
  Settlement,
  SilenceKey,
  WaitingKey,
} from '@gentianshunt/entryModel';
import type {MonotonicTime} from '@gentianshunt/clock';
import type {
  EndpointSetId,
  NodeId,
  OrganisationId,
  RequestId,
} from '@gentianshunt/identifiers';
import type {RateBucket} from '@gentianshunt/limits';

/** The sections that the lifecycle controller writes. */
export type LifecycleSections =
  | 'requests'
  | 'waiting'
  | 'lines'
  | 'dispatches'
  | 'running'
  | 'openClaims'
  | 'settlements'
  | 'silences'
  | 'allotments'
  | 'openAsks'
  | 'silentKeepers'
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
  | 'acceptedReply';

/** What the lifecycle controller sees. */
export type LifecycleView = View<
  EntrySections,
  LifecycleReads,
  EntryObservation
>;

type LifecycleWrite = EntryWrite<LifecycleSections>;

/**
 * Collects the writes of one run. Later steps of the run read the states and
 * counts that earlier steps have drafted.
 */
export interface RequestDraft {
  read(request: RequestId): RequestState | undefined;
  /** Moves a request to a state and brings the index sections in line. */
  move(state: RequestState): void;
  /** Removes an ended request. */
  remove(request: RequestId): void;
  order(order: EntryOrder): void;
  putOpenClaim(request: RequestId, claim: OpenClaim): void;
  putSettlement(settlement: Settlement): void;
  readAllotment(organisation: OrganisationId): AllotmentState | undefined;
  putAllotment(organisation: OrganisationId, state: AllotmentState): void;
  putOpenAsk(ask: OpenAsk): void;
  putSilentKeeper(keeper: NodeId, until: MonotonicTime): void;
  readRetryBudget(set: EndpointSetId): RateBucket | undefined;
  putRetryBudget(set: EndpointSetId, bucket: RateBucket): void;
  dropSettlement(request: RequestId): void;
  listWrites(): readonly LifecycleWrite[];
}

/** Creates a draft over a view of the board. */
export function createRequestDraft(view: LifecycleView): RequestDraft {
  const {board} = view;
  const writes: LifecycleWrite[] = [];
  const states = new Map<RequestId, RequestState | undefined>();
  const allotments = createMapDraft(board.allotments);
  const retryBudgets = createMapDraft(board.retryBudgets);
  const lines = createCounter<LineKey>(
    key => board.lines.get(key)?.count ?? 0,
    key => `${key.set}/${key.rank}/${key.organisation}`,
  );
  const running = createCounter<RunningKey>(
    key => board.running.get(key)?.count ?? 0,
    key => `${key.set}/${key.endpoint}/${key.organisation}`,
  );
  const read = (request: RequestId): RequestState | undefined =>
    states.has(request) ? states.get(request) : board.requests.get(request);
  const leave = (state: RequestState): void => {
    if (isQueued(state)) {
      const key = toWaitingKey(state.request);
      writes.push({kind: 'delete', section: 'waiting', key});
      lines.add(pickLine(key), -1);
    }
    if (hasSlot(state)) {
      running.add(toRunningKey(state), -1);
    }
  };
  const enter = (state: RequestState): void => {
    if (isQueued(state)) {
      const key = toWaitingKey(state.request);
      writes.push({
        kind: 'put',
        section: 'waiting',
        key,
        value: state.request,
      });
      lines.add(pickLine(key), 1);
    }
    if (hasSlot(state)) {
      running.add(toRunningKey(state), 1);
    }
  };
  const indexDispatch = (
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
  const indexSilence = (
    before: RequestState | undefined,
    after: RequestState | undefined,
  ): void => {
    const old = before === undefined ? undefined : toSilenceKey(before);
    const next = after === undefined ? undefined : toSilenceKey(after);
    if (old !== undefined && old.silentAt !== next?.silentAt) {
      writes.push({kind: 'delete', section: 'silences', key: old});
    }
    if (next !== undefined && next.silentAt !== old?.silentAt) {
      const value = next.request;
      writes.push({kind: 'put', section: 'silences', key: next, value});
    }
  };
  const closeClaim = (
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
        leave(before);
        writes.push(...closeAsk(before, state));
      }
      enter(state);
      indexDispatch(before, state);
      indexSilence(before, state);
      closeClaim(before, state);
      states.set(state.request.id, state);
      const key = state.request.id;
      writes.push({kind: 'put', section: 'requests', key, value: state});
    },
    remove: request => {
      const before = read(request);
      if (before === undefined) {
        return;
      }
      leave(before);
      writes.push(...closeAsk(before));
      indexDispatch(before, undefined);
      indexSilence(before, undefined);
      closeClaim(before, undefined);
      states.set(request, undefined);
      writes.push({kind: 'delete', section: 'requests', key: request});
    },
    order: order => writes.push({kind: 'order', order}),
    putOpenClaim: (key, value) =>
      writes.push({kind: 'put', section: 'openClaims', key, value}),
    putSettlement: value => {
      const key = value.request;
      writes.push({kind: 'put', section: 'settlements', key, value});
    },
    dropSettlement: key =>
      writes.push({kind: 'delete', section: 'settlements', key}),
    readAllotment: allotments.get,
    putAllotment: allotments.put,
    putOpenAsk: value => {
      const key = value.request;
      writes.push({kind: 'put', section: 'openAsks', key, value});
    },
    putSilentKeeper: (key, value) =>
      writes.push({kind: 'put', section: 'silentKeepers', key, value}),
    readRetryBudget: retryBudgets.get,
    putRetryBudget: retryBudgets.put,
    listWrites: () => [
      ...writes,
      ...allotments.listWrites('allotments' as const),
      ...retryBudgets.listWrites('retryBudgets' as const),
      ...lines.listChanges().map(({key, count}) => toCountWrite(key, count)),
      ...running
        .listChanges()
        .map(({key, count}) => toRunningWrite(key, count)),
    ],
  };
}

/** The states in which a request occupies a place at an endpoint. */
type SlotHolder =
  DispatchedState | Extract<RequestState, {readonly kind: 'claiming'}>;

function hasSlot(state: RequestState): state is SlotHolder {
  return (
    state.kind === 'claiming' ||
    state.kind === 'dispatched' ||
    state.kind === 'answering'
  );
}

function closeAsk(
  before: RequestState,
  after?: RequestState,
): readonly LifecycleWrite[] {
  const isClosed =
    before.kind === 'awaitingAllotment' && after?.kind !== 'awaitingAllotment';
  return isClosed
    ? [{kind: 'delete', section: 'openAsks', key: before.request.id}]
    : [];
}

function isAwaitingClaim(state: RequestState): boolean {
  return state.kind === 'claiming' || state.kind === 'awaitingOutcome';
}

function toSilenceKey(state: RequestState): SilenceKey | undefined {
  return state.kind === 'dispatched' || state.kind === 'answering'
    ? {silentAt: state.silentAt, request: state.request.id}
    : undefined;
}

/** Makes the key under which a request waits. */
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

function toCountWrite(key: LineKey, count: number): LifecycleWrite {
  return count === 0
    ? {kind: 'delete', section: 'lines', key}
    : {kind: 'put', section: 'lines', key, value: {count}};
}

function toRunningWrite(key: RunningKey, count: number): LifecycleWrite {
  return count === 0
    ? {kind: 'delete', section: 'running', key}
    : {kind: 'put', section: 'running', key, value: {count}};
}

interface CountChange<Key> {
  readonly key: Key;
  readonly count: number;
}

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
    // A count that came back to its value is no change.
    listChanges: () =>
      [...changes.values()].filter(({key, count}) => count !== readCount(key)),
  };
}
