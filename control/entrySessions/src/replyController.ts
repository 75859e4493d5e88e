import type {TurnTime, View} from '@gentianshunt/board';
import {
  defineControlController,
  formatClaimId,
  formatCommandKey,
} from '@gentianshunt/controlModel';
import type {
  ClaimId,
  ClaimRecord,
  ControlController,
  ControlObservation,
  ControlSections,
  ControlWrite,
  PendingKey,
  PendingReply,
} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import type {
  ClaimAnswer,
  CommandAnswer,
  ControlToEntry,
  EntryToControl,
  OperatorCommand,
} from '@gentianshunt/messages';
import type {NodeId, RequestId} from '@gentianshunt/identifiers';

type ReplyReads =
  | 'role'
  | 'applied'
  | 'commands'
  | 'nextCommand'
  | 'claims'
  | 'sessions'
  | 'pending';
type ReplyView = View<ControlSections, ReplyReads, ControlObservation>;
type ReplyWrite = ControlWrite<'pending'>;

/** Creates the controller that answers entries once the log has applied. */
export function createReplyController(): ControlController {
  return defineControlController<ReplyReads, 'pending'>({
    name: 'replies',
    reads: [
      'role',
      'applied',
      'commands',
      'nextCommand',
      'claims',
      'sessions',
      'pending',
    ],
    writes: ['pending'],
    observes: ['entryMessage'],
    run: (view, now) => [
      ...handleObservation(view, now),
      ...answerPending(view),
    ],
  });
}

function send(to: NodeId, message: ControlToEntry): ReplyWrite {
  return {kind: 'order', order: {kind: 'sendEntry', to, message}};
}

function handleObservation(
  view: ReplyView,
  now: TurnTime,
): readonly ReplyWrite[] {
  const {observation} = view;
  if (
    observation?.kind !== 'entryMessage' ||
    view.board.role.kind !== 'leader'
  ) {
    return [];
  }
  return handleMessage(view, observation.from, observation.message, now);
}

function handleMessage(
  view: ReplyView,
  from: NodeId,
  message: EntryToControl,
  now: TurnTime,
): readonly ReplyWrite[] {
  switch (message.kind) {
    case 'commandRequest':
      return handleCommand(view, from, message.correlation, message.command);
    case 'claimRequest':
      return handleClaim(view, from, message);
    case 'commandStatusRequest':
      return answerStatus(view, from, message, now);
    case 'entryHeartbeat':
    case 'settleRequest':
      return [];
    default:
      return assertNever(message, 'handleMessage');
  }
}

function handleCommand(
  view: ReplyView,
  from: NodeId,
  correlation: RequestId,
  command: OperatorCommand,
): readonly ReplyWrite[] {
  const answer = findCommandAnswer(view, command);
  if (answer !== undefined) {
    return [send(from, {kind: 'commandReply', correlation, answer})];
  }
  return [
    putPending(correlation as string as PendingKey, {
      kind: 'command',
      to: from,
      correlation,
      command,
    }),
  ];
}

function putPending(key: PendingKey, value: PendingReply): ReplyWrite {
  return {kind: 'put', section: 'pending', key, value};
}

function findCommandAnswer(
  view: ReplyView,
  command: OperatorCommand,
): CommandAnswer | undefined {
  const {number, operator, digest} = command;
  const record = view.board.commands.get(formatCommandKey(number));
  if (record === undefined) {
    return undefined;
  }
  if (record.operator === operator && record.digest === digest) {
    return record.answer;
  }
  return {
    kind: 'numberTaken',
    number,
    winner: record.operator,
    winnerDigest: record.digest,
    nextFree: view.board.nextCommand,
  };
}

function handleClaim(
  view: ReplyView,
  from: NodeId,
  message: Extract<EntryToControl, {readonly kind: 'claimRequest'}>,
): readonly ReplyWrite[] {
  const claim = formatClaimId(message.key);
  const record = view.board.claims.get(claim);
  if (record !== undefined) {
    return [sendClaimReply(from, message, record)];
  }
  const key = `${claim}/${message.request}` as PendingKey;
  return [putPending(key, {kind: 'claim', to: from, claim, request: message})];
}

function sendClaimReply(
  to: NodeId,
  request: Extract<EntryToControl, {readonly kind: 'claimRequest'}>,
  record: ClaimRecord,
): ReplyWrite {
  return send(to, {
    kind: 'claimReply',
    key: request.key,
    request: request.request,
    answer: toClaimAnswer(request, record),
  });
}

function toClaimAnswer(
  request: Extract<EntryToControl, {readonly kind: 'claimRequest'}>,
  record: ClaimRecord,
): ClaimAnswer {
  if (record.digest !== request.digest) {
    return {kind: 'digestMismatch'};
  }
  if (record.outcome !== null) {
    return {kind: 'settled', outcome: record.outcome};
  }
  return record.request === request.request
    ? {kind: 'granted'}
    : {kind: 'running', node: record.node};
}

/** Answers the requests that the log has applied by now. */
function answerPending(view: ReplyView): readonly ReplyWrite[] {
  if (view.readChanges('applied').size === 0) {
    return [];
  }
  const writes: ReplyWrite[] = [];
  for (const [key, pending] of view.board.pending) {
    const answer = findAnswer(view, pending);
    if (answer !== undefined) {
      writes.push(answer, {kind: 'delete', section: 'pending', key});
    }
  }
  return writes;
}

function findAnswer(
  view: ReplyView,
  pending: PendingReply,
): ReplyWrite | undefined {
  switch (pending.kind) {
    case 'command': {
      const answer = findCommandAnswer(view, pending.command);
      const {correlation} = pending;
      return answer === undefined
        ? undefined
        : send(pending.to, {kind: 'commandReply', correlation, answer});
    }
    case 'claim': {
      const record = view.board.claims.get(pending.claim as ClaimId);
      return record === undefined
        ? undefined
        : sendClaimReply(pending.to, pending.request, record);
    }
    default:
      return assertNever(pending, 'findAnswer');
  }
}

/** Lists the entries that may still act on an older version. */
function answerStatus(
  view: ReplyView,
  from: NodeId,
  message: Extract<EntryToControl, {readonly kind: 'commandStatusRequest'}>,
  now: TurnTime,
): readonly ReplyWrite[] {
  const unconfirmed = [...view.board.sessions.values()]
    .filter(
      session =>
        session.version < message.version && session.leaseUntil > now.monotonic,
    )
    .map(session => session.entry.node);
  return [
    send(from, {
      kind: 'commandStatusReply',
      correlation: message.correlation,
      version: message.version,
      unconfirmed,
    }),
  ];
}
