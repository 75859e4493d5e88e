import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  createDecisionWrite,
  defineControlController,
} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlObservation,
  ControlSections,
  ControlWrite,
  PendingReply,
  PendingRequest,
} from '@gentianshunt/controlModel';
import type {ControlToEntry, EntryToControl} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import {answerControlQuery} from './controlQuery.js';
import type {QueryBoard} from './controlQuery.js';
import {computeInForceStatus, findAcknowledgementDelay} from './inForce.js';
import {canAnswer} from './leaderStatus.js';
import {
  findReply,
  formatPendingKey,
  isRecentlyProposed,
  PENDING_REPLY_TIMEOUT_MS,
  REPLY_SECTIONS,
  toPendingRequest,
} from './pendingReplies.js';
import type {ReplyBoard} from './pendingReplies.js';

type ReplyReads = keyof ReplyBoard | keyof QueryBoard;
type ReplyView = View<ControlSections, ReplyReads, ControlObservation>;
type ReplyWrite = ControlWrite<'pendingReplies'>;
type ControlQueryRequest = Extract<
  EntryToControl,
  {readonly kind: 'controlQueryRequest'}
>;

/** Most queries that wait for the confirmation of this leader. */
const MAX_WAITING_QUERIES = 64;
/** Time after which a waiting read of the configuration is dropped. */
const SOURCE_TIMEOUT_MS: Milliseconds = 1_000;

/**
 * Creates the controller that replies to requests of entries, at once or when
 * the log entry of the request has been applied.
 */
export function createReplyController(): ControlController {
  return defineControlController<ReplyReads, 'pendingReplies'>({
    name: 'replies',
    reads: [
      ...REPLY_SECTIONS,
      'serviceCounts',
      'recentCounts',
      'releases',
      'copyWatch',
      'joinWatch',
    ],
    writes: ['pendingReplies'],
    observes: ['entryMessage', 'timerDue'],
    run: (view, now) =>
      view.board.role.kind === 'leader'
        ? [
            ...handleObservation(view, now),
            ...replyToPending(view, now),
            ...scheduleAcknowledgement(view, now),
          ]
        : removeAllPending(view),
  });
}

function send(to: NodeId, message: ControlToEntry): ReplyWrite {
  return {kind: 'effect', effect: {kind: 'sendEntry', to, message}};
}

/** Drops the pending replies; entries resend to the next leader. */
function removeAllPending(view: ReplyView): readonly ReplyWrite[] {
  return Array.from(view.board.pendingReplies.keys(), key => ({
    kind: 'delete',
    section: 'pendingReplies',
    key,
  }));
}

function handleObservation(
  view: ReplyView,
  now: TurnTime,
): readonly ReplyWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'entryMessage':
      return handleMessage(view, observation.from, observation.message, now);
    case 'timerDue':
      return observation.timer.kind === 'sessions'
        ? removeTimedOut(view, now)
        : [];
    default:
      return [];
  }
}

function handleMessage(
  view: ReplyView,
  from: NodeId,
  message: EntryToControl,
  now: TurnTime,
): readonly ReplyWrite[] {
  if (message.kind === 'controlQueryRequest') {
    return handleQuery(view, from, message, now);
  }
  const request = toPendingRequest(from, message);
  if (request === undefined) {
    return [];
  }
  const reply = findReply(view.board, request, now);
  if (reply !== undefined) {
    return [send(from, reply)];
  }
  const pending: PendingReply = {
    to: from,
    lastAttemptAt: now.monotonic,
    request,
  };
  return [
    ...(isRecentlyProposed(view.board, request, now)
      ? []
      : [putPending(pending)]),
    ...sendProgress(view, pending, now),
  ];
}

/** Answers a query, or keeps it until this daemon is confirmed to lead. */
function handleQuery(
  view: ReplyView,
  from: NodeId,
  {correlation, query}: ControlQueryRequest,
  now: TurnTime,
): readonly ReplyWrite[] {
  const request: PendingRequest = {kind: 'query', correlation, query};
  const pending = {to: from, lastAttemptAt: now.monotonic, request};
  const reply = findPendingReply(view, pending, now);
  if (reply !== undefined) {
    return [send(from, reply)];
  }
  const waiting = [...view.board.pendingReplies.values()].filter(
    each => each.request.kind === 'query',
  );
  return waiting.length < MAX_WAITING_QUERIES ? [putPending(pending)] : [];
}

function findPendingReply(
  {board}: ReplyView,
  {request, lastAttemptAt}: PendingReply,
  now: TurnTime,
): ControlToEntry | undefined {
  if (request.kind !== 'query') {
    return findReply(board, request, now);
  }
  if (!canAnswer(board, lastAttemptAt, now)) {
    return undefined;
  }
  const {correlation, query} = request;
  const result = answerControlQuery(board, query, now);
  return {kind: 'controlQueryReply', correlation, result};
}

function putPending(value: PendingReply): ReplyWrite {
  const key = formatPendingKey(value.request);
  return {kind: 'put', section: 'pendingReplies', key, value};
}

/** Reports at once which entries have not confirmed the version yet. */
function sendProgress(
  view: ReplyView,
  pending: PendingReply,
  now: TurnTime,
): readonly ReplyWrite[] {
  const {to, request} = pending;
  if (request.kind !== 'force') {
    return [];
  }
  const {correlation, version} = request;
  const status = computeInForceStatus(view.board, version, now);
  return [send(to, {kind: 'commandStatusReply', correlation, status})];
}

function removeTimedOut(view: ReplyView, now: TurnTime): readonly ReplyWrite[] {
  const writes: ReplyWrite[] = [];
  for (const [key, pending] of view.board.pendingReplies) {
    if (now.monotonic - pending.lastAttemptAt > readTimeoutMs(pending)) {
      writes.push({kind: 'delete', section: 'pendingReplies', key});
    }
  }
  return writes;
}

/** Nobody waits for the configuration as long as for other replies. */
function readTimeoutMs({request}: PendingReply): Milliseconds {
  return request.kind === 'query' && request.query.kind === 'source'
    ? SOURCE_TIMEOUT_MS
    : PENDING_REPLY_TIMEOUT_MS;
}

/**
 * Replies to pending requests that are decided now, by the applied log, by the
 * confirmations of entries or by the confirmation of this leader.
 */
function replyToPending(view: ReplyView, now: TurnTime): readonly ReplyWrite[] {
  const isDue = isReplyDue(view);
  const isConfirmationDue = view.readChanges('leadership').size > 0;
  if (!isDue && !isConfirmationDue) {
    return [];
  }
  const writes: ReplyWrite[] = [];
  for (const [key, pending] of view.board.pendingReplies) {
    if (!isDue && pending.request.kind !== 'query') {
      continue;
    }
    const reply = findPendingReply(view, pending, now);
    if (reply === undefined) {
      writes.push(...recordDelay(view, pending, now));
    } else {
      writes.push(
        send(pending.to, reply),
        {kind: 'delete', section: 'pendingReplies', key},
        ...recordAcknowledgement(pending, now),
      );
    }
  }
  return writes;
}

/** Returns whether something changed on which replies to requests depend. */
function isReplyDue(view: ReplyView): boolean {
  return (
    view.readChanges('applied').size > 0 ||
    view.readChanges('appliedReleases').size > 0 ||
    view.readChanges('sessionVersions').size > 0 ||
    view.observation?.kind === 'timerDue'
  );
}

/** Returns whether an entry asks for a reply that may have to wait for leases. */
function isReplacementRequested({observation}: ReplyView): boolean {
  return (
    observation?.kind === 'entryMessage' &&
    observation.message.kind === 'replacementRequest'
  );
}

/** Sets the timer for the time at which the next release may be acknowledged. */
function scheduleAcknowledgement(
  view: ReplyView,
  now: TurnTime,
): readonly ReplyWrite[] {
  if (!isReplyDue(view) && !isReplacementRequested(view)) {
    return [];
  }
  const waits = [...view.board.pendingReplies.values()].flatMap(({request}) => {
    const delay =
      request.kind === 'replacement'
        ? findAcknowledgementDelay(view.board, request.version, now)
        : undefined;
    return delay !== undefined && 'remainingMs' in delay
      ? [delay.remainingMs]
      : [];
  });
  return waits.length === 0
    ? []
    : [
        {
          kind: 'effect',
          effect: {
            kind: 'setTimer',
            timer: {kind: 'acknowledgements'},
            delayMs: Math.min(...waits),
          },
        },
      ];
}

/** Records why a release that was just applied is not acknowledged yet. */
function recordDelay(
  view: ReplyView,
  {to, request}: PendingReply,
  now: TurnTime,
): readonly ReplyWrite[] {
  if (
    request.kind !== 'replacement' ||
    view.readChanges('appliedReleases').size === 0
  ) {
    return [];
  }
  const {version: release} = request;
  const delay = findAcknowledgementDelay(view.board, release, now);
  if (delay === undefined || delay.kind === 'notApplied') {
    return [];
  }
  return [
    createDecisionWrite({
      kind: 'acknowledgementDelayed',
      release,
      to,
      cause: delay.kind,
      leaseOf: delay.kind === 'entryLease' ? delay.node : null,
      remainingMs: 'remainingMs' in delay ? delay.remainingMs : null,
    }),
  ];
}

/** Records that a release that had to wait is acknowledged. */
function recordAcknowledgement(
  {to, request, lastAttemptAt}: PendingReply,
  now: TurnTime,
): readonly ReplyWrite[] {
  return request.kind === 'replacement'
    ? [
        createDecisionWrite({
          kind: 'releaseAcknowledged',
          release: request.version,
          to,
          waitedMs: now.monotonic - lastAttemptAt,
        }),
      ]
    : [];
}
