import type {MonotonicTime} from '@gentianshunt/clock';
import {assertNever} from '@gentianshunt/errors';
import type {
  EndpointId,
  IncarnationId,
  NodeId,
} from '@gentianshunt/identifiers';

import type {EndpointAnnouncement} from './endpoint.js';

/** The incarnation of an endpoint that left, or the latest that may have. */
export type LeftIncarnation =
  /** Incarnations that started later, in Unix milliseconds, have not left. */
  | {readonly kind: 'numbered'; readonly startedAtMs: number}
  /** Of endpoints that do not number their announcements. */
  | {readonly kind: 'named'; readonly incarnation: IncarnationId};

/** How an entry learnt that an endpoint left. */
export type WithdrawalSource =
  /** The endpoint reported it to this entry. */
  | 'endpoint'
  /** The endpoint stated it in an answer to this entry. */
  | 'answer'
  /** The entry that the endpoint told notified this one. */
  | 'notification'
  /** Another entry reported it in an exchange. */
  | 'exchange'
  /** It was on the disk of this VM when the process started. */
  | 'disk';

/** What an entry knows of an endpoint that left. */
export interface Withdrawal {
  readonly left: LeftIncarnation;
  readonly source: WithdrawalSource;
  /** This entry, or the one that told it. */
  readonly learntFrom: NodeId;
  /** Until when announcements of that incarnation may still arrive. */
  readonly until: MonotonicTime;
}

/** Returns the incarnation that an announcement describes. */
export function toLeftIncarnation({
  order,
  incarnation,
}: Pick<EndpointAnnouncement, 'order' | 'incarnation'>): LeftIncarnation {
  return order === undefined
    ? {kind: 'named', incarnation}
    : {kind: 'numbered', startedAtMs: order.startedAtMs};
}

/** Returns whether an announcement is of an incarnation that has not left. */
export function isLaterIncarnation(
  announcement: EndpointAnnouncement,
  left: LeftIncarnation,
): boolean {
  switch (left.kind) {
    case 'named':
      return announcement.incarnation !== left.incarnation;
    case 'numbered':
      return (announcement.order?.startedAtMs ?? 0) > left.startedAtMs;
    default:
      return assertNever(left, 'isLaterIncarnation');
  }
}

/** Returns whether an announcement is a late one of an endpoint that left. */
export function isWithdrawn(
  withdrawals: ReadonlyMap<EndpointId, Withdrawal>,
  announcement: EndpointAnnouncement,
): boolean {
  const known = withdrawals.get(announcement.endpoint);
  return known !== undefined && !isLaterIncarnation(announcement, known.left);
}

/** Returns whether one leave withdraws all that another one does. */
export function isCoveredBy(
  left: LeftIncarnation,
  known: LeftIncarnation,
): boolean {
  switch (left.kind) {
    case 'named':
      return known.kind === 'named' && known.incarnation === left.incarnation;
    case 'numbered':
      return known.kind === 'numbered' && known.startedAtMs >= left.startedAtMs;
    default:
      return assertNever(left, 'isCoveredBy');
  }
}
