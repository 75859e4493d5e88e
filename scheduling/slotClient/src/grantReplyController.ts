import type {TurnTime, View} from '@gentianshunt/board';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  DemandReportingState,
  EndpointList,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  GrantReply,
  ReplyPosition,
} from '@gentianshunt/entryModel';

type ReplyReads =
  | 'demandReporting'
  | 'replyPositions'
  | 'withdrawnEndpoints'
  | 'knownEndpoints';
type ReplyWrites =
  | 'replyPositions'
  | 'acceptedReply'
  | 'openCapacities'
  | 'setDemands'
  | 'knownEndpoints';
type ReplyView = View<EntrySections, ReplyReads, EntryObservation>;
type ReplyWrite = EntryWrite<ReplyWrites>;

/**
 * Creates the controller that accepts grant replies to the latest demand report
 * only, and stores the endpoint lists that set leaders send.
 */
export function createGrantReplyController(): EntryController {
  return defineEntryController<ReplyReads, ReplyWrites>({
    name: 'replies',
    reads: [
      'demandReporting',
      'replyPositions',
      'withdrawnEndpoints',
      'knownEndpoints',
    ],
    writes: [
      'replyPositions',
      'acceptedReply',
      'openCapacities',
      'setDemands',
      'knownEndpoints',
    ],
    observes: ['entryMessage'],
    run: (view, now) => [
      ...removeWithdrawn(view),
      ...handleObservation(view, now),
    ],
  });
}

function handleObservation(
  view: ReplyView,
  now: TurnTime,
): readonly ReplyWrite[] {
  const {observation} = view;
  if (observation?.kind !== 'entryMessage') {
    return [];
  }
  const {message} = observation;
  switch (message.kind) {
    case 'endpointsListed':
      return acceptEndpointList(view, message.list, now);
    case 'grantReply':
      return acceptGrantReply(view, message.reply);
    default:
      return [];
  }
}

/** Accepts a reply to the latest demand report, unless it was received before. */
function acceptGrantReply(
  {board}: ReplyView,
  reply: GrantReply,
): readonly ReplyWrite[] {
  const state = board.demandReporting.get(reply.set);
  const position = board.replyPositions.get(reply.set);
  if (!isCurrent(reply, state, position)) {
    return [];
  }
  const value = {sequence: reply.sequence, part: reply.part};
  return [
    {kind: 'put', section: 'replyPositions', key: reply.set, value},
    {kind: 'set', section: 'acceptedReply', value: reply},
    updateOpenCapacity(reply, state!),
    {
      kind: 'put',
      section: 'setDemands',
      key: reply.set,
      value: {
        waitingRank: reply.waitingRank,
        knownAt: state!.sentAt + reply.reportAgeMs,
      },
    },
  ];
}

/** Stores what a reply says of open capacity, in place of earlier replies. */
function updateOpenCapacity(
  {set, open, reportAgeMs, lifetimeMs}: GrantReply,
  {sentAt}: DemandReportingState,
): ReplyWrite {
  if (open === null) {
    return {kind: 'delete', section: 'openCapacities', key: set};
  }
  // It lasts until the next report, and as long as a slot after that.
  const until = sentAt + reportAgeMs + lifetimeMs + open.reportIntervalMs;
  const value = {...open, until};
  return {kind: 'put', section: 'openCapacities', key: set, value};
}

/**
 * Removes endpoints that left from the known lists. The digest stays that of
 * the received list, so that the leader sends the list again when it changes.
 */
function removeWithdrawn(view: ReplyView): readonly ReplyWrite[] {
  const {knownEndpoints} = view.board;
  if (view.readChanges('withdrawnEndpoints').size === 0) {
    return [];
  }
  return [...knownEndpoints].flatMap(([key, list]): readonly ReplyWrite[] => {
    const endpoints = listUsable(view, list);
    return endpoints.length === list.endpoints.length
      ? []
      : [
          {
            kind: 'put',
            section: 'knownEndpoints',
            key,
            value: {...list, endpoints},
          },
        ];
  });
}

function listUsable(
  {board}: ReplyView,
  {endpoints}: EndpointList,
): EndpointList['endpoints'] {
  return endpoints.filter(
    ({target}) => !board.withdrawnEndpoints.has(target.endpoint),
  );
}

/** Ignores the list of an earlier leader: its epoch is lower. */
function acceptEndpointList(
  view: ReplyView,
  list: EndpointList,
  now: TurnTime,
): readonly ReplyWrite[] {
  const known = view.board.knownEndpoints.get(list.set);
  if (known !== undefined && known.epoch > list.epoch) {
    return [];
  }
  const endpoints = listUsable(view, list);
  const value = {...list, endpoints, receivedAt: now.monotonic};
  return [{kind: 'put', section: 'knownEndpoints', key: list.set, value}];
}

/**
 * Returns whether a reply answers the latest demand report and was not received
 * before. Late, duplicate and superseded replies are dropped.
 */
function isCurrent(
  reply: GrantReply,
  state: DemandReportingState | undefined,
  position: ReplyPosition | undefined,
): boolean {
  if (
    state === undefined ||
    state.sequence !== reply.sequence ||
    state.epoch !== reply.epoch
  ) {
    return false;
  }
  return position?.sequence !== reply.sequence || reply.part > position.part;
}
