import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  EndpointList,
  EntryController,
  EntryWrite,
  ExchangeState,
  GrantReply,
  ReplyMark,
} from '@gentianshunt/entryModel';

/** Creates the controller that accepts replies to the latest report only. */
export function createReplyController(): EntryController {
  return defineEntryController<
    'exchanges' | 'replyMarks' | 'knownEndpoints',
    'replyMarks' | 'acceptedReply' | 'knownEndpoints'
  >({
    name: 'replies',
    reads: ['exchanges', 'replyMarks', 'knownEndpoints'],
    writes: ['replyMarks', 'acceptedReply', 'knownEndpoints'],
    observes: ['entryMessage'],
    run: ({observation, board}) => {
      if (observation?.kind !== 'entryMessage') {
        return [];
      }
      const {message} = observation;
      if (message.kind === 'endpointsListed') {
        const known = board.knownEndpoints.get(message.list.set);
        return acceptList(known, message.list);
      }
      if (message.kind !== 'grantReply') {
        return [];
      }
      const {reply} = message;
      const exchange = board.exchanges.get(reply.set);
      const mark = board.replyMarks.get(reply.set);
      if (!isCurrent(reply, exchange, mark)) {
        return [];
      }
      return [
        {
          kind: 'put',
          section: 'replyMarks',
          key: reply.set,
          value: {sequence: reply.sequence, part: reply.part},
        },
        {kind: 'set', section: 'acceptedReply', value: reply},
      ];
    },
  });
}

/** What an earlier leader said is out of date. */
function acceptList(
  known: EndpointList | undefined,
  list: EndpointList,
): readonly EntryWrite<'knownEndpoints'>[] {
  return known !== undefined && known.epoch > list.epoch
    ? []
    : [{kind: 'put', section: 'knownEndpoints', key: list.set, value: list}];
}

/** Late, repeated and superseded replies are dropped. */
function isCurrent(
  reply: GrantReply,
  exchange: ExchangeState | undefined,
  mark: ReplyMark | undefined,
): boolean {
  if (
    exchange === undefined ||
    exchange.sequence !== reply.sequence ||
    exchange.epoch !== reply.epoch
  ) {
    return false;
  }
  return mark?.sequence !== reply.sequence || reply.part > mark.part;
}
