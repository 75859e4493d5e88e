import type {BoardView, TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findCommandAnswer, formatClaimId} from '@gentianshunt/controlModel';
import type {
  ControlSections,
  PendingKey,
  PendingRequest,
} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import type {ControlToEntry, EntryToControl} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import {findClaimAnswer, isCompletionApplied} from './claimAnswers.js';
import {canAcknowledgeRelease, computeInForceStatus} from './inForce.js';
import {hasOwnEntryApplied} from './leaderStatus.js';

/** Time after which an unapplied payload may be proposed again. */
export const PROPOSAL_RETRY_MS: Milliseconds = 2_000;
/** Time after which a pending reply is dropped. */
export const PENDING_REPLY_TIMEOUT_MS: Milliseconds = 15_000;

/** The sections from which replies to entries are created. */
export const REPLY_SECTIONS = [
  'identity',
  'role',
  'leadership',
  'applied',
  'commands',
  'commandFloor',
  'nextCommand',
  'claims',
  'claimExpiry',
  'claimUsage',
  'countMarks',
  'source',
  'appliedReleases',
  'sessions',
  'sessionVersions',
  'pendingReplies',
] as const satisfies readonly (keyof ControlSections)[];

/** The part of the board from which replies to entries are created. */
export type ReplyBoard = Pick<
  BoardView<ControlSections>,
  (typeof REPLY_SECTIONS)[number]
>;

/** A request whose reply depends on the log or the entries' confirmations. */
export type LoggedRequest = Exclude<PendingRequest, {readonly kind: 'query'}>;

/**
 * Converts a message whose reply may have to wait for the log or for the
 * confirmations of entries; returns `undefined` for other messages.
 */
export function toPendingRequest(
  from: NodeId,
  message: EntryToControl,
): LoggedRequest | undefined {
  switch (message.kind) {
    case 'commandRequest': {
      const {correlation, command} = message;
      return {kind: 'command', correlation, command};
    }
    case 'replacementRequest': {
      const {correlation, replacement} = message;
      const {version} = replacement;
      return {kind: 'replacement', correlation, version};
    }
    case 'claimRequest':
      return {kind: 'claim', claim: formatClaimId(message.key), message};
    case 'settleRequest':
      return {kind: 'settle', claim: formatClaimId(message.key), message};
    case 'countReportRequest': {
      const {incarnation, sequence} = message.report;
      return {kind: 'counts', node: from, incarnation, sequence};
    }
    case 'commandStatusRequest': {
      const {correlation, version} = message;
      return {kind: 'force', correlation, version};
    }
    case 'entryHeartbeat':
    case 'versionConfirmed':
    case 'orderOffer':
    case 'orderReport':
    case 'controlQueryRequest':
      return undefined;
    default:
      return assertNever(message, 'toPendingRequest');
  }
}

/** Formats the key under which a pending reply is stored. */
export function formatPendingKey(request: PendingRequest): PendingKey {
  switch (request.kind) {
    case 'command':
      return `command/${request.correlation}` as PendingKey;
    case 'replacement':
      return `replacement/${request.correlation}` as PendingKey;
    case 'claim':
      return `claim/${request.claim}/${request.message.request}` as PendingKey;
    case 'settle':
      return `settle/${request.claim}/${request.message.request}` as PendingKey;
    case 'counts':
      return `counts/${request.incarnation}` as PendingKey;
    case 'query':
      return `query/${request.correlation}` as PendingKey;
    case 'force':
      return `force/${request.correlation}` as PendingKey;
    default:
      return assertNever(request, 'formatPendingKey');
  }
}

/** Returns whether a request was proposed too recently to propose it again. */
export function isRecentlyProposed(
  board: Pick<ReplyBoard, 'pendingReplies'>,
  request: PendingRequest,
  now: TurnTime,
): boolean {
  const pending = board.pendingReplies.get(formatPendingKey(request));
  return (
    pending !== undefined &&
    now.monotonic - pending.lastAttemptAt < PROPOSAL_RETRY_MS
  );
}

/** Finds the reply to a request, if it is decided already. */
export function findReply(
  board: ReplyBoard,
  request: LoggedRequest,
  now: TurnTime,
): ControlToEntry | undefined {
  switch (request.kind) {
    case 'command': {
      const answer = findCommandAnswer(board, request.command);
      const {correlation} = request;
      return answer && {kind: 'commandReply', correlation, answer};
    }
    case 'replacement': {
      const {correlation, version} = request;
      return canAcknowledgeRelease(board, version, now)
        ? {kind: 'replacementReply', correlation, version: board.source.version}
        : undefined;
    }
    case 'claim': {
      const answer = findClaimAnswer(board, request.message, now);
      const {key, request: id} = request.message;
      return answer && {kind: 'claimReply', key, request: id, answer};
    }
    case 'settle': {
      const {key, request: id} = request.message;
      return hasOwnEntryApplied(board) &&
        !isClaimPending(board, request) &&
        isCompletionApplied(board, request.message)
        ? {kind: 'settleReply', key, request: id}
        : undefined;
    }
    case 'counts': {
      const {node, incarnation, sequence} = request;
      const mark = board.countMarks.get({node, incarnation});
      return mark !== undefined && mark.sequence >= sequence
        ? {kind: 'countReportReply', incarnation, sequence}
        : undefined;
    }
    case 'force': {
      const {correlation, version} = request;
      const status = computeInForceStatus(board, version, now);
      return status.isInForce
        ? {kind: 'commandStatusReply', correlation, status}
        : undefined;
    }
    default:
      return assertNever(request, 'findReply');
  }
}

/**
 * Returns whether the claim of the same request is still pending. The claim
 * must be applied before its completion.
 */
function isClaimPending(
  board: ReplyBoard,
  request: Extract<PendingRequest, {readonly kind: 'settle'}>,
): boolean {
  const key = `claim/${request.claim}/${request.message.request}`;
  return board.pendingReplies.has(key as PendingKey);
}
