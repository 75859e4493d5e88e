import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  EndpointAnnouncement,
  EntryController,
  EntryMessage,
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';
import type {EndpointId, NodeId} from '@gentianshunt/identifiers';

/**
 * How long an endpoint that left is not used. Slots granted before it left have
 * expired by then, and endpoint lists no longer contain it.
 */
export const WITHDRAWAL_MS: Milliseconds = 5_000;
/**
 * How long an entry does not use an endpoint that said in an answer that it
 * leaves. Its heartbeats may still say that it is active.
 */
export const ANSWERED_LEAVE_MS: Milliseconds = 120_000;

type WithdrawalReads =
  'identity' | 'control' | 'configuration' | 'withdrawnEndpoints';
type WithdrawalView = View<EntrySections, WithdrawalReads, EntryObservation>;
type WithdrawalWrite = EntryWrite<'withdrawnEndpoints'>;

/**
 * Creates the controller that withdraws endpoints that leave. The entry that an
 * endpoint tells of its leave notifies all others, so that slots and endpoint
 * lists that they hold are not used any more, whether or not the set leader
 * keeps up.
 */
export function createWithdrawalController(): EntryController {
  return defineEntryController<WithdrawalReads, 'withdrawnEndpoints'>({
    name: 'withdrawals',
    reads: ['identity', 'control', 'configuration', 'withdrawnEndpoints'],
    writes: ['withdrawnEndpoints'],
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
          return broadcastLeave(view, observation.endpoint, undefined, now);
        case 'endpointSignalled':
          return observation.signals.isLeaving
            ? handleAnsweredLeave(view, observation.endpoint, now)
            : [];
        case 'entryMessage':
          return handleMessage(view, observation.message, now);
        case 'timerDue':
          return observation.timer.kind === 'housekeeping'
            ? expireWithdrawals(view, now)
            : [];
        default:
          return [];
      }
    },
  });
}

function handleContact(
  view: WithdrawalView,
  {endpoint, set, leaving}: EndpointAnnouncement,
  now: TurnTime,
): readonly WithdrawalWrite[] {
  // The set leader gets the announcement itself, which names an incarnation.
  const leader = findObject(view.board.configuration, 'setLeadership', set);
  return leaving ? broadcastLeave(view, endpoint, leader?.node, now) : [];
}

function handleMessage(
  view: WithdrawalView,
  message: EntryMessage,
  now: TurnTime,
): readonly WithdrawalWrite[] {
  switch (message.kind) {
    case 'endpointLeft':
      return putWithdrawal(view, message.endpoint, now);
    case 'endpointAnnounced': {
      const {endpoint, leaving} = message.announcement;
      return leaving ? putWithdrawal(view, endpoint, now) : [];
    }
    default:
      return [];
  }
}

/** An answer is proof, whatever heartbeats say before and after it. */
function handleAnsweredLeave(
  view: WithdrawalView,
  endpoint: EndpointId,
  now: TurnTime,
): readonly WithdrawalWrite[] {
  return [
    ...broadcastLeave(view, endpoint, undefined, now),
    ...putWithdrawal(view, endpoint, now, ANSWERED_LEAVE_MS),
  ];
}

/** Withdraws an endpoint and notifies all entries except one, once. */
function broadcastLeave(
  view: WithdrawalView,
  endpoint: EndpointId,
  except: NodeId | undefined,
  now: TurnTime,
): readonly WithdrawalWrite[] {
  const {control, identity, withdrawnEndpoints} = view.board;
  if (withdrawnEndpoints.has(endpoint)) {
    return [];
  }
  const self = identity.address.node;
  const message = {kind: 'endpointLeft', endpoint} as const;
  return [
    ...putWithdrawal(view, endpoint, now),
    ...control.directory.entries
      .filter(({address: {node}}) => node !== self && node !== except)
      .map(({address: {node: to, peer: address}}): WithdrawalWrite => ({
        kind: 'effect',
        effect: {kind: 'sendEntry', to, address, message},
      })),
  ];
}

function putWithdrawal(
  {board}: WithdrawalView,
  key: EndpointId,
  now: TurnTime,
  durationMs: Milliseconds = WITHDRAWAL_MS,
): readonly WithdrawalWrite[] {
  const known = board.withdrawnEndpoints.get(key) ?? 0;
  const value = Math.max(known, now.monotonic + durationMs);
  return [{kind: 'put', section: 'withdrawnEndpoints', key, value}];
}

function expireWithdrawals(
  {board}: WithdrawalView,
  now: TurnTime,
): readonly WithdrawalWrite[] {
  return [...board.withdrawnEndpoints]
    .filter(([, until]) => until <= now.monotonic)
    .map(([key]) => ({kind: 'delete', section: 'withdrawnEndpoints', key}));
}
