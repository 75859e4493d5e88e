import type {TurnTime, View} from '@gentianshunt/board';
import {
  defineEntryController,
  iterateLineSlots,
  pickLine,
} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  GrantReply,
  LineKey,
  Slot,
  SlotKey,
} from '@gentianshunt/entryModel';
import type {RequestId} from '@gentianshunt/identifiers';

import {listCandidates} from './lineOrder.js';

type SlotReads =
  | 'requests'
  | 'waiting'
  | 'lines'
  | 'slots'
  | 'matches'
  | 'patience'
  | 'endpointRates'
  | 'acceptedReply'
  | 'exchanges';
type SlotWrites = 'slots' | 'matches';
type SlotView = View<EntrySections, SlotReads, EntryObservation>;
type SlotWrite = EntryWrite<SlotWrites>;

/** Creates the controller that holds slots and matches them to requests. */
export function createSlotController(): EntryController {
  return defineEntryController<SlotReads, SlotWrites>({
    name: 'slots',
    reads: [
      'requests',
      'waiting',
      'lines',
      'slots',
      'matches',
      'patience',
      'endpointRates',
      'acceptedReply',
      'exchanges',
    ],
    writes: ['slots', 'matches'],
    observes: ['timerDue'],
    run: (view, now) => [
      ...dropUsedMatches(view),
      ...dropExpiredSlots(view, now),
      ...takeGrants(view, now),
    ],
  });
}

/** A match has done its work once the request has left the waiting state. */
function dropUsedMatches(view: SlotView): readonly SlotWrite[] {
  const writes: SlotWrite[] = [];
  for (const key of view.readChanges('requests')) {
    const request = key as RequestId;
    const waits = view.board.requests.get(request)?.kind === 'waiting';
    if (!waits && view.board.matches.has(request)) {
      writes.push({kind: 'delete', section: 'matches', key: request});
    }
  }
  return writes;
}

function dropExpiredSlots(view: SlotView, now: TurnTime): readonly SlotWrite[] {
  const {observation} = view;
  if (
    observation?.kind !== 'timerDue' ||
    observation.timer.kind !== 'housekeeping'
  ) {
    return [];
  }
  const writes: SlotWrite[] = [];
  for (const {key, value} of view.board.slots.iterateFrom()) {
    if (value.deadline <= now.monotonic) {
      writes.push({kind: 'delete', section: 'slots', key});
    }
  }
  return writes;
}

/** Matches the lines that gained requests or slots. */
function takeGrants(view: SlotView, now: TurnTime): readonly SlotWrite[] {
  const writes: SlotWrite[] = [];
  const reply =
    view.readChanges('acceptedReply').size > 0
      ? view.board.acceptedReply
      : null;
  const fresh = reply === null ? [] : toSlots(view, reply);
  const lines = new Map<string, LineKey>();
  const addLine = (line: LineKey): void => {
    lines.set(`${line.set}/${line.rank}/${line.organisation}`, line);
  };
  fresh.forEach(({key}) => addLine(pickLine(key)));
  for (const key of view.readChanges('waiting')) {
    addLine(pickLine(key as LineKey));
  }
  for (const line of lines.values()) {
    writes.push(...matchLine(view, line, fresh, now));
  }
  return writes;
}

interface HeldSlot {
  readonly key: SlotKey;
  readonly slot: Slot;
}

function toSlots(view: SlotView, reply: GrantReply): readonly HeldSlot[] {
  const sentAt = view.board.exchanges.get(reply.set)?.sentAt ?? 0;
  // Counted from the sending of the report, the deadline cannot be later
  // than the leader believes, whatever the delay of the messages.
  const deadline = sentAt + reply.reportAgeMs + reply.lifetimeMs;
  return reply.grants.map(grant => ({
    key: {
      set: reply.set,
      rank: grant.rank,
      organisation: grant.organisation,
      grant: grant.id,
    },
    slot: {
      set: reply.set,
      epoch: reply.epoch,
      grant,
      remaining: grant.count,
      deadline,
    },
  }));
}

function matchLine(
  view: SlotView,
  line: LineKey,
  fresh: readonly HeldSlot[],
  now: TurnTime,
): readonly SlotWrite[] {
  const writes: SlotWrite[] = [];
  const held = listSlots(view, line, fresh);
  if (held.length === 0) {
    return writes;
  }
  const waiting = listCandidates(view.board, line, now).values();
  for (const {key, slot} of held) {
    let {remaining} = slot;
    while (remaining > 0 && slot.deadline > now.monotonic) {
      const next = waiting.next();
      if (next.done === true) {
        break;
      }
      remaining -= 1;
      writes.push({
        kind: 'put',
        section: 'matches',
        key: next.value.request.id,
        value: {
          grant: slot.grant.id,
          target: slot.grant.target,
          deadline: slot.deadline,
        },
      });
    }
    writes.push(
      remaining === 0
        ? {kind: 'delete', section: 'slots', key}
        : {kind: 'put', section: 'slots', key, value: {...slot, remaining}},
    );
  }
  return writes;
}

function listSlots(
  view: SlotView,
  line: LineKey,
  fresh: readonly HeldSlot[],
): readonly HeldSlot[] {
  const held = [...iterateLineSlots(view.board.slots, line)].map(entry => ({
    key: entry.key,
    slot: entry.value,
  }));
  const added = fresh.filter(
    ({key}) =>
      key.rank === line.rank &&
      key.organisation === line.organisation &&
      key.set === line.set,
  );
  return [...held, ...added];
}
