/**
 * Exchanges of leaves between entries: each asks others from time to time for what
 * it has not read of their logs, and a log that differs is asked for in return.
 */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  findOtherEntry,
  isLeaveKnowledgeCurrent,
  pickOtherEntries,
} from '@gentianshunt/entryModel';
import type {
  EntryMessage,
  LeaveLogPosition,
  LeaveRecord,
  ReportedLeave,
} from '@gentianshunt/entryModel';
import type {
  EndpointId,
  IncarnationId,
  NodeId,
} from '@gentianshunt/identifiers';
import type {EntryAddress} from '@gentianshunt/messages';

import type {WithdrawalDraft} from './withdrawalDraft.js';
import {sendTo} from './withdrawalView.js';
import type {WithdrawalView} from './withdrawalView.js';

/** How often an entry asks others for the leaves that they know. */
export const WITHDRAWAL_EXCHANGE_MS: Milliseconds = 500;
/** Entries asked at each time; as many ask this one, and are asked in return. */
const REQUESTED_ENTRIES = 1;
/** Most leaves in one reply. */
const MAX_REPORTED = 2_048;

type LeavesRequest = Extract<
  EntryMessage,
  {readonly kind: 'withdrawalsRequested'}
>;
type LeavesReport = Extract<
  EntryMessage,
  {readonly kind: 'withdrawalsReported'}
>;

/** Asks some other entries if the last time is long enough ago. */
export function syncWithdrawals(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  now: TurnTime,
): void {
  const {requestedAt} = draft.readExchange();
  if (now.monotonic - requestedAt >= WITHDRAWAL_EXCHANGE_MS) {
    requestLeaves(view, draft, REQUESTED_ENTRIES, now);
  }
}

/**
 * Asks some other entries, but those in `left`, for the leaves that they know;
 * returns whom it asked.
 */
export function requestLeaves(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  count: number,
  now: TurnTime,
  left?: ReadonlySet<NodeId>,
): readonly EntryAddress[] {
  draft.putExchange({...draft.readExchange(), requestedAt: now.monotonic});
  const asked = pickOtherEntries(view.board, count, now, left);
  asked.forEach(address => sendRequest(view, draft, address));
  return asked;
}

function sendRequest(
  {board}: WithdrawalView,
  draft: WithdrawalDraft,
  address: EntryAddress,
  after: LeaveLogPosition | null = board.leavePositions.get(address.node) ??
    null,
): void {
  const exchange = draft.readExchange();
  const request = exchange.lastRequest + 1;
  const {version, digest} = draft.readLog();
  const own = {process: board.identity.incarnation, version};
  draft.putExchange({...exchange, lastRequest: request});
  draft.add(
    sendTo(address, {
      kind: 'withdrawalsRequested',
      request,
      after,
      digest,
      own,
    }),
  );
}

/** Reports leaves to an entry, and asks it if it knows others. */
export function handleLeavesRequest(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  from: NodeId,
  {request, after, digest, own}: LeavesRequest,
  now: TurnTime,
): void {
  const {board} = view;
  const address = findOtherEntry(view.board, from);
  if (address === undefined) {
    return;
  }
  const isSame = digest === draft.readLog().digest;
  const unread = isSame ? [] : listUnread(view, own.process, after);
  const reported = unread.slice(0, MAX_REPORTED);
  const isComplete = reported.length === unread.length;
  const version = isComplete
    ? draft.readLog().version
    : reported[reported.length - 1]![1].version;
  draft.add(
    sendTo(address, {
      kind: 'withdrawalsReported',
      request,
      position: {process: board.identity.incarnation, version},
      isComplete,
      isCurrent: isLeaveKnowledgeCurrent(board, now),
      withdrawals: reported.map(([endpoint, record]) =>
        toReportedLeave(endpoint, record, now),
      ),
    }),
  );
  if (!isSame && isBehind(view, from, own)) {
    sendRequest(view, draft, address);
  }
}

/**
 * Lists the records that an entry has not read, in the order in which they were
 * learnt. What was read from its present process it knows; an earlier one may have
 * told more than the present one remembers.
 */
function listUnread(
  {board}: WithdrawalView,
  reader: IncarnationId,
  after: LeaveLogPosition | null,
): readonly (readonly [EndpointId, LeaveRecord])[] {
  const isKnown = after?.process === board.identity.incarnation;
  const first = isKnown ? after.version : 0;
  return [...board.leaveRecords]
    .filter(
      ([, {version, readFrom}]) =>
        version > first && !(isKnown && readFrom === reader),
    )
    .sort(([, left], [, right]) => left.version - right.version);
}

function toReportedLeave(
  endpoint: EndpointId,
  {state, incarnation, until}: LeaveRecord,
  now: TurnTime,
): ReportedLeave {
  const remainingMs = Math.max(0, until - now.monotonic);
  return {endpoint, state, incarnation, remainingMs};
}

/** Returns whether the log of another entry has grown since it was read. */
function isBehind(
  {board}: WithdrawalView,
  node: NodeId,
  {process, version}: LeaveLogPosition,
): boolean {
  const read = board.leavePositions.get(node);
  return read?.process !== process || read.version < version;
}

/** Learns what another entry reports; asks for the rest if there is more. */
export function handleLeavesReport(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  from: NodeId,
  {position, isComplete, withdrawals}: LeavesReport,
): void {
  for (const leave of withdrawals) {
    draft.learn({
      ...leave,
      source: 'exchange',
      learntFrom: from,
      readFrom: position.process,
    });
  }
  draft.add({
    kind: 'put',
    section: 'leavePositions',
    key: from,
    value: position,
  });
  const address = findOtherEntry(view.board, from);
  if (!isComplete && address !== undefined) {
    sendRequest(view, draft, address, position);
  }
}

/** Forgets the positions in the logs of entries that are gone. */
export function dropPositions(
  {board}: WithdrawalView,
  draft: WithdrawalDraft,
): void {
  const {entries} = board.control.directory;
  if (board.leavePositions.size <= entries.length) {
    return;
  }
  const listed = new Set(entries.map(({address}) => address.node));
  for (const key of board.leavePositions.keys()) {
    if (!listed.has(key)) {
      draft.add({kind: 'delete', section: 'leavePositions', key});
    }
  }
}
