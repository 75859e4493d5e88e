import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  EntryController,
  ExchangeState,
  GrantReply,
  ReplyMark,
} from '@gentianshunt/entryModel';

/** Creates the controller that accepts replies to the latest report only. */
export function createReplyController(): EntryController {
  return defineEntryController<
    'exchanges' | 'replyMarks',
    'replyMarks' | 'acceptedReply'
  >({
    name: 'replies',
    reads: ['exchanges', 'replyMarks'],
    writes: ['replyMarks', 'acceptedReply'],
    observes: ['entryMessage'],
    run: ({observation, board}) => {
      if (
        observation?.kind !== 'entryMessage' ||
        observation.message.kind !== 'grantReply'
      ) {
        return [];
      }
      const {reply} = observation.message;
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
