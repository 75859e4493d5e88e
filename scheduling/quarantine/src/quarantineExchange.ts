/** Sends quarantines to other entries. */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {listOtherEntries, pickOtherEntries} from '@gentianshunt/entryModel';
import type {Quarantine} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';
import type {EntryAddress} from '@gentianshunt/messages';

import {toReportedQuarantine} from './quarantineMessages.js';
import {toEffectWrite} from './quarantineView.js';
import type {QuarantineView, QuarantineWrite} from './quarantineView.js';

/** How often an entry sends its quarantines to one other entry. */
export const EXCHANGE_INTERVAL_MS: Milliseconds = 2_000;
/** Entries that a new one asks for the quarantines that they know. */
const REQUESTED_ENTRIES = 3;

/** Sends a decision of this entry to all others. */
export function broadcastQuarantine(
  view: QuarantineView,
  quarantine: Quarantine,
  now: TurnTime,
): readonly QuarantineWrite[] {
  return sendQuarantines(
    listOtherEntries(view.board),
    [quarantine],
    false,
    now,
  );
}

/** Sends an entry that asked for them the quarantines known here. */
export function replyToEntry(
  view: QuarantineView,
  to: NodeId,
  now: TurnTime,
): readonly QuarantineWrite[] {
  const {quarantines} = view.board;
  const receivers = listOtherEntries(view.board).filter(
    ({node}) => node === to,
  );
  return sendQuarantines(receivers, [...quarantines.values()], false, now);
}

/**
 * Sends the known quarantines to another entry from time to time, so that
 * each entry learns of them even if a message is lost. An entry that has just
 * started requests them from several.
 */
export function syncQuarantines(
  view: QuarantineView,
  now: TurnTime,
): readonly QuarantineWrite[] {
  const {quarantineExchange, quarantines} = view.board;
  const {hasRequested, sentAt} = quarantineExchange;
  const isDue =
    now.monotonic - sentAt >= EXCHANGE_INTERVAL_MS &&
    (!hasRequested || quarantines.size > 0);
  const count = hasRequested ? 1 : REQUESTED_ENTRIES;
  const receivers = isDue ? pickOtherEntries(view.board, count, now) : [];
  if (receivers.length === 0) {
    return [];
  }
  return [
    {
      kind: 'set',
      section: 'quarantineExchange',
      value: {hasRequested: true, sentAt: now.monotonic},
    },
    ...sendQuarantines(
      receivers,
      [...quarantines.values()],
      !hasRequested,
      now,
    ),
  ];
}

function sendQuarantines(
  receivers: readonly EntryAddress[],
  known: readonly Quarantine[],
  isReplyRequested: boolean,
  now: TurnTime,
): readonly QuarantineWrite[] {
  if (known.length === 0 && !isReplyRequested) {
    return [];
  }
  const quarantines = known.map(quarantine =>
    toReportedQuarantine(quarantine, now.monotonic),
  );
  const message = {
    kind: 'quarantinesReported',
    quarantines,
    isReplyRequested,
  } as const;
  return receivers.map(({node: to, peer: address}) =>
    toEffectWrite({kind: 'sendEntry', to, address, message}),
  );
}
