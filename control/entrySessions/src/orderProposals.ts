import type {BoardView, TurnTime} from '@gentianshunt/board';
import {
  findObject,
  findWeightStoreRate,
  isOrderIssuable,
} from '@gentianshunt/configuration';
import type {ControlSections} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import type {EntryToControl, LogPayload} from '@gentianshunt/messages';
import {isWeightStoreRead, takeToken} from '@gentianshunt/orders';
import type {NodeId} from '@gentianshunt/identifiers';

type OrderMessage = Extract<
  EntryToControl,
  {readonly kind: 'orderOffer' | 'orderReport'}
>;
type OrderBoard = Pick<
  BoardView<ControlSections>,
  'configuration' | 'weightStore'
>;

/**
 * Proposes to issue or to end an endpoint order. The conditions are checked
 * again when the log entry is applied, and only that check is binding.
 */
export function proposeOrder(
  board: OrderBoard,
  from: NodeId,
  message: OrderMessage,
  now: TurnTime,
): readonly LogPayload[] {
  switch (message.kind) {
    case 'orderOffer': {
      const {endpoint, revision, set, epoch} = message;
      const atMs = now.wall.getTime();
      return canIssue(board, message, atMs)
        ? [
            {
              kind: 'issueOrder',
              endpoint,
              revision,
              set,
              node: from,
              epoch,
              atMs,
            },
          ]
        : [];
    }
    case 'orderReport': {
      const {endpoint, fencing, result} = message;
      const order = findObject(board.configuration, 'endpointOrder', endpoint);
      return order?.state.kind === 'issued' && order.state.fencing === fencing
        ? [{kind: 'endOrder', endpoint, fencing, result}]
        : [];
    }
    default:
      return assertNever(message, 'proposeOrder');
  }
}

/**
 * Returns whether an order can be issued now. An order that must wait for the
 * rate limit of the weight store is not proposed.
 */
function canIssue(
  board: OrderBoard,
  offer: Extract<OrderMessage, {readonly kind: 'orderOffer'}>,
  atMs: number,
): boolean {
  const {configuration, weightStore} = board;
  const order = findObject(configuration, 'endpointOrder', offer.endpoint);
  const isIssuable =
    order !== undefined &&
    order.revision === offer.revision &&
    isOrderIssuable(configuration, order);
  if (!isIssuable) {
    return false;
  }
  const rate = findWeightStoreRate(configuration);
  return (
    !isWeightStoreRead(order.directive) ||
    takeToken(weightStore, rate, atMs) !== undefined
  );
}
