import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import {
  defineEntryController,
  findLeftIncarnation,
  isCoveredBy,
  isLaterIncarnation,
  listOtherEntries,
  toLeftIncarnation,
} from '@gentianshunt/entryModel';
import type {
  EndpointAnnouncement,
  EntryController,
  EntryMessage,
  LeftIncarnation,
  Withdrawal,
  WithdrawalSource,
} from '@gentianshunt/entryModel';
import type {EndpointId, NodeId} from '@gentianshunt/identifiers';

import {
  syncWithdrawals,
  sendTo,
  sendWithdrawals,
} from './withdrawalExchange.js';
import {WITHDRAWAL_READS} from './withdrawalView.js';
import type {
  WithdrawalReads,
  WithdrawalSections,
  WithdrawalView,
  WithdrawalWrite,
} from './withdrawalView.js';

/**
 * How long an entry remembers that an endpoint left. Announcements sent before
 * it left may arrive until then, also at an entry that has no record of it.
 */
export const WITHDRAWAL_MS: Milliseconds = 120_000;
/** Most withdrawals that an entry remembers; the oldest give way. */
export const MAX_WITHDRAWALS = 16_384;

/**
 * Creates the controller that withdraws endpoints that leave. The entry that an
 * endpoint tells of its leave notifies all others, so that slots and endpoint
 * lists that they hold are not used any more, whether or not the set leader
 * keeps up, and so that the leave outlives both. An entry that has just started
 * or was cut off asks others for the leaves that they know of.
 */
export function createWithdrawalController(): EntryController {
  return defineEntryController<WithdrawalReads, WithdrawalSections>({
    name: 'withdrawals',
    reads: WITHDRAWAL_READS,
    writes: ['withdrawnEndpoints', 'withdrawalExchange'],
    observes: [
      'endpointContact',
      'endpointLeft',
      'endpointSignalled',
      'entryMessage',
      'timerDue',
    ],
    run: (view, now) => {
      const {observation} = view;
      switch (observation?.kind) {
        case 'endpointContact':
          return handleContact(view, observation.announcement, now);
        case 'endpointLeft':
          return handleLeave(view, observation.endpoint, 'endpoint', now);
        case 'endpointSignalled':
          return observation.signals.isLeaving
            ? handleLeave(view, observation.endpoint, 'answer', now)
            : [];
        case 'entryMessage':
          return handleMessage(
            view,
            observation.from,
            observation.message,
            now,
          );
        case 'timerDue':
          return observation.timer.kind === 'housekeeping'
            ? [...expireWithdrawals(view, now), ...syncWithdrawals(view, now)]
            : [];
        default:
          return [];
      }
    },
  });
}

function handleContact(
  view: WithdrawalView,
  announcement: EndpointAnnouncement,
  now: TurnTime,
): readonly WithdrawalWrite[] {
  const {endpoint, set, leaving} = announcement;
  if (!leaving) {
    return clearWithdrawal(view, announcement);
  }
  // The set leader gets the announcement itself, which names an incarnation.
  const leader = findObject(view.board.configuration, 'setLeadership', set);
  const left = toLeftIncarnation(announcement);
  const origin = createOwnOrigin(view, 'endpoint');
  return broadcastLeave(view, endpoint, left, origin, leader?.node, now);
}

function handleLeave(
  view: WithdrawalView,
  endpoint: EndpointId,
  source: WithdrawalSource,
  now: TurnTime,
): readonly WithdrawalWrite[] {
  const left = findLeftIncarnation(view.board, endpoint, now);
  const origin = createOwnOrigin(view, source);
  return broadcastLeave(view, endpoint, left, origin, undefined, now);
}

/** Where an entry knows a leave from. */
type Origin = Pick<Withdrawal, 'source' | 'learntFrom'>;

function createOwnOrigin(
  {board}: WithdrawalView,
  source: WithdrawalSource,
): Origin {
  return {source, learntFrom: board.identity.address.node};
}

function handleMessage(
  view: WithdrawalView,
  from: NodeId,
  message: EntryMessage,
  now: TurnTime,
): readonly WithdrawalWrite[] {
  switch (message.kind) {
    case 'endpointLeft': {
      const origin = {source: 'notification', learntFrom: from} as const;
      return putWithdrawal(view, message.endpoint, message.left, origin, now);
    }
    case 'endpointAnnounced':
      return handleForwarded(view, from, message.announcement, now);
    case 'withdrawalsRequested':
      return sendWithdrawals(view, from, now);
    case 'withdrawalsReported':
      return message.withdrawals.flatMap(({endpoint, left, remainingMs}) =>
        putWithdrawal(
          view,
          endpoint,
          left,
          {source: 'exchange', learntFrom: from},
          now,
          remainingMs,
        ),
      );
    default:
      return [];
  }
}

/** The set leader notifies the others of an endpoint that is back. */
function handleForwarded(
  view: WithdrawalView,
  from: NodeId,
  announcement: EndpointAnnouncement,
  now: TurnTime,
): readonly WithdrawalWrite[] {
  const {endpoint, set, leaving} = announcement;
  if (leaving) {
    const left = toLeftIncarnation(announcement);
    const origin = {source: 'notification', learntFrom: from} as const;
    return putWithdrawal(view, endpoint, left, origin, now);
  }
  const {configuration, identity} = view.board;
  const self = identity.address.node;
  const lifted = clearWithdrawal(view, announcement);
  const isLeader =
    findObject(configuration, 'setLeadership', set)?.node === self;
  return lifted.length === 0 || !isLeader
    ? lifted
    : [
        ...lifted,
        ...listOtherEntries(view.board).map(address =>
          sendTo(address, {kind: 'endpointAnnounced', announcement}),
        ),
      ];
}

/** Lifts the withdrawal of an endpoint that has started since it left. */
function clearWithdrawal(
  {board}: WithdrawalView,
  announcement: EndpointAnnouncement,
): readonly WithdrawalWrite[] {
  const key = announcement.endpoint;
  const known = board.withdrawnEndpoints.get(key);
  return known === undefined || !isLaterIncarnation(announcement, known.left)
    ? []
    : [{kind: 'delete', section: 'withdrawnEndpoints', key}];
}

/** Withdraws an endpoint and notifies all entries except one, once. */
function broadcastLeave(
  view: WithdrawalView,
  endpoint: EndpointId,
  left: LeftIncarnation,
  origin: Origin,
  except: NodeId | undefined,
  now: TurnTime,
): readonly WithdrawalWrite[] {
  const writes = putWithdrawal(view, endpoint, left, origin, now);
  const message = {kind: 'endpointLeft', endpoint, left} as const;
  return writes.length === 0
    ? []
    : [
        ...writes,
        ...listOtherEntries(view.board)
          .filter(({node}) => node !== except)
          .map(address => sendTo(address, message)),
      ];
}

/** Withdraws an endpoint, unless it is withdrawn already. */
function putWithdrawal(
  {board}: WithdrawalView,
  key: EndpointId,
  left: LeftIncarnation,
  origin: Origin,
  now: TurnTime,
  durationMs: Milliseconds = WITHDRAWAL_MS,
): readonly WithdrawalWrite[] {
  const known = board.withdrawnEndpoints.get(key);
  if (known !== undefined && isCoveredBy(left, known.left)) {
    return [];
  }
  const until = now.monotonic + Math.min(durationMs, WITHDRAWAL_MS);
  const value = {left, ...origin, until};
  return [{kind: 'put', section: 'withdrawnEndpoints', key, value}];
}

function expireWithdrawals(
  {board}: WithdrawalView,
  now: TurnTime,
): readonly WithdrawalWrite[] {
  const withdrawals = [...board.withdrawnEndpoints];
  const excess = withdrawals.length - MAX_WITHDRAWALS;
  const dropped =
    excess > 0
      ? withdrawals
          .sort(([, left], [, right]) => left.until - right.until)
          .slice(0, excess)
      : withdrawals.filter(([, {until}]) => until <= now.monotonic);
  return dropped.map(([key]) => ({
    kind: 'delete',
    section: 'withdrawnEndpoints',
    key,
  }));
}
