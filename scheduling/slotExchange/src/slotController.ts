import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import {
  ANY_ORGANISATION,
  defineEntryController,
  isQueued,
  isSameLine,
  iterateLines,
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
import type {
  EndpointSetId,
  GrantId,
  RequestId,
} from '@gentianshunt/identifiers';
import {isLimited} from '@gentianshunt/limits';

import {listCandidates} from './lineOrder.js';
import {isLeaderSilent, listLocalPlaces} from './localShare.js';

/** How long a place that the entry took by itself may be used. */
const LOCAL_SLOT_MS: Milliseconds = 500;

type SlotReads =
  | 'configuration'
  | 'requests'
  | 'waiting'
  | 'lines'
  | 'slots'
  | 'matches'
  | 'patience'
  | 'endpointRates'
  | 'acceptedReply'
  | 'identity'
  | 'control'
  | 'knownEndpoints'
  | 'running'
  | 'exchanges';
type SlotWrites = 'slots' | 'matches';
type SlotView = View<EntrySections, SlotReads, EntryObservation>;
type SlotWrite = EntryWrite<SlotWrites>;

/** Creates the controller that holds slots and matches them to requests. */
export function createSlotController(): EntryController {
  return defineEntryController<SlotReads, SlotWrites>({
    name: 'slots',
    reads: [
      'configuration',
      'requests',
      'waiting',
      'lines',
      'slots',
      'matches',
      'patience',
      'endpointRates',
      'acceptedReply',
      'identity',
      'control',
      'knownEndpoints',
      'running',
      'exchanges',
    ],
    writes: ['slots', 'matches'],
    observes: ['timerDue'],
    run: (view, now) => [
      ...dropUsedMatches(view),
      ...dropExpiredSlots(view, now),
      ...takeGrants(view, now),
      ...matchLocally(view, now),
    ],
  });
}

/** A match has done its work once the request has left the waiting state. */
function dropUsedMatches(view: SlotView): readonly SlotWrite[] {
  const writes: SlotWrite[] = [];
  for (const key of view.readChanges('requests')) {
    const request = key as RequestId;
    const state = view.board.requests.get(request);
    const isWaiting = state !== undefined && isQueued(state);
    if (!isWaiting && view.board.matches.has(request)) {
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
  const reply =
    view.readChanges('acceptedReply').size > 0
      ? view.board.acceptedReply
      : null;
  const fresh = reply === null ? [] : toSlots(view, reply);
  const draft = createSlotDraft(view, fresh);
  const matches = listChangedLines(view, fresh).flatMap(line =>
    matchLine(view, line, draft, now),
  );
  return [...matches, ...draft.listWrites()];
}

function listChangedLines(
  view: SlotView,
  fresh: readonly HeldSlot[],
): readonly LineKey[] {
  const lines = new Map<string, LineKey>();
  const addLine = (line: LineKey): void => {
    lines.set(`${line.set}/${line.rank}/${line.organisation}`, line);
  };
  for (const key of view.readChanges('waiting')) {
    addLine(pickLine(key as LineKey));
  }
  for (const {key} of fresh) {
    if (key.organisation !== ANY_ORGANISATION) {
      addLine(pickLine(key));
      continue;
    }
    for (const line of iterateLines(view.board.lines, key.set)) {
      if (line.key.rank === key.rank) {
        addLine(line.key);
      }
    }
  }
  return [...lines.values()];
}

/** While the leader of a set is silent, the entry goes on with its part. */
function matchLocally(view: SlotView, now: TurnTime): readonly SlotWrite[] {
  const {leaderSilence} = view.board.identity;
  const takesShare = leaderSilence?.kind === 'takeShare';
  if (view.observation?.kind !== 'timerDue' || !takesShare) {
    return [];
  }
  const sets = new Set<EndpointSetId>();
  for (const {key} of view.board.lines.iterateFrom()) {
    sets.add(key.set);
  }
  return [...sets]
    .filter(set => isLeaderSilent(view.board, set, now))
    .flatMap(set => matchSetLocally(view, set, now));
}

function matchSetLocally(
  view: SlotView,
  set: EndpointSetId,
  now: TurnTime,
): readonly SlotWrite[] {
  const places = listLocalPlaces(view.board, set);
  const waiting = Array.from(iterateLines(view.board.lines, set), ({key}) =>
    listCandidates(view.board, key, now),
  ).flat();
  return waiting.slice(0, places.length).map(({request}, index) => ({
    kind: 'put',
    section: 'matches',
    key: request.id,
    value: {
      grant: `${set}.local` as GrantId,
      target: places[index]!.target,
      deadline: now.monotonic + LOCAL_SLOT_MS,
    },
  }));
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
  draft: SlotDraft,
  now: TurnTime,
): readonly SlotWrite[] {
  const writes: SlotWrite[] = [];
  const fitting = draft.listFitting(line);
  if (fitting.length === 0) {
    return writes;
  }
  const waiting = listCandidates(view.board, line, now).values();
  for (const {key, slot} of fitting) {
    while (draft.readRemaining(key) > 0 && slot.deadline > now.monotonic) {
      const next = waiting.next();
      if (next.done === true) {
        return writes;
      }
      draft.spend(key);
      const {id: grant, target} = slot.grant;
      const value = {grant, target, deadline: slot.deadline};
      const request = next.value.request.id;
      writes.push({kind: 'put', section: 'matches', key: request, value});
    }
  }
  return writes;
}

/** The slots of one run; lines of a tier share those for any organisation. */
interface SlotDraft {
  /** Lists slots of the line, then those for any organisation. */
  listFitting(line: LineKey): readonly HeldSlot[];
  readRemaining(key: SlotKey): number;
  spend(key: SlotKey): void;
  listWrites(): readonly SlotWrite[];
}

function createSlotDraft(
  view: SlotView,
  fresh: readonly HeldSlot[],
): SlotDraft {
  const changed = new Map<GrantId, HeldSlot>();
  fresh.forEach(held => changed.set(held.key.grant, held));
  const read = (key: SlotKey): Slot | undefined =>
    changed.get(key.grant)?.slot ?? view.board.slots.get(key);
  const listOne = (line: LineKey): readonly HeldSlot[] => [
    ...[...iterateLineSlots(view.board.slots, line)].map(
      ({key, value}): HeldSlot => ({key, slot: value}),
    ),
    ...fresh.filter(({key}) => isSameLine(key, line)),
  ];
  return {
    listFitting: line =>
      hasLimits(view, line)
        ? listOne(line)
        : [
            ...listOne(line),
            ...listOne({...line, organisation: ANY_ORGANISATION}),
          ],
    readRemaining: key => read(key)?.remaining ?? 0,
    spend: key => {
      const slot = read(key)!;
      const remaining = slot.remaining - 1;
      changed.set(key.grant, {key, slot: {...slot, remaining}});
    },
    listWrites: () =>
      [...changed.values()].map(({key, slot}) =>
        slot.remaining === 0
          ? {kind: 'delete', section: 'slots', key}
          : {kind: 'put', section: 'slots', key, value: slot},
      ),
  };
}

/** The leader counts a limited organisation by grants of its own. */
function hasLimits(view: SlotView, line: LineKey): boolean {
  const {configuration} = view.board;
  const organisation = findObject(
    configuration,
    'organisation',
    line.organisation,
  );
  return organisation !== undefined && isLimited(organisation.limits);
}
