import type {TurnTime, View} from '@gentianshunt/board';
import {findEntryAddress} from '@gentianshunt/entryModel';
import type {
  EntryObservation,
  EntrySections,
  EntryWrite,
  Grant,
  GrantedSince,
  LeadershipState,
  ReportRecord,
  ShedOrder,
} from '@gentianshunt/entryModel';
import type {GrantId, NodeId} from '@gentianshunt/identifiers';
import {SHED_RETRY_AFTER_MS} from '@gentianshunt/policy';
import type {WaitingCount} from '@gentianshunt/policy';

import type {AllocatedSlot} from './allocation.js';
import {SLOT_LIFETIME_MS} from './leadershipController.js';

type ReplyView = View<EntrySections, 'control', EntryObservation>;

/** What the leader has decided for all entries. */
export interface Decided {
  readonly slots: readonly AllocatedSlot[];
  readonly shed: readonly WaitingCount[];
}

/** Neither slots nor refusals. */
export const NOTHING_DECIDED: Decided = {slots: [], shed: []};

/** Answers an entry's report; a report answered before gets only news. */
export function replyTo(
  view: ReplyView,
  leadership: LeadershipState,
  record: ReportRecord,
  before: ReadonlyMap<NodeId, GrantedSince>,
  decided: Decided,
  now: TurnTime,
): readonly EntryWrite<'granted'>[] {
  const since = before.get(record.node)!;
  const grants = toGrants(leadership, since, decided.slots);
  const shed = toShedOrders(record.node, decided.shed);
  const address = findEntryAddress(view.board.control.directory, record.node);
  const isAnswered = since.parts > 0;
  const isEmpty = grants.length === 0 && shed.length === 0;
  if (address === undefined || (isAnswered && isEmpty)) {
    return [];
  }
  const part = since.parts + 1;
  const granted = grants.map(grant => ({
    endpoint: grant.target.endpoint,
    rank: grant.rank,
    organisation: grant.organisation,
    count: grant.count,
  }));
  return [
    {
      kind: 'put',
      section: 'granted',
      key: {set: leadership.set, node: record.node},
      value: {
        ...since,
        parts: part,
        slots: [...since.slots, ...granted],
        shed: [...since.shed, ...shed],
      },
    },
    {
      kind: 'order',
      order: {
        kind: 'sendEntry',
        to: record.node,
        address,
        message: {
          kind: 'grantReply',
          reply: {
            set: leadership.set,
            epoch: leadership.epoch,
            sequence: record.report.sequence,
            part,
            reportAgeMs: now.monotonic - record.receivedAt,
            lifetimeMs: SLOT_LIFETIME_MS,
            grants,
            shed,
          },
        },
      },
    },
  ];
}

/** Makes the orders for one entry; callers are told to return spread out. */
function toShedOrders(
  node: NodeId,
  counts: readonly WaitingCount[],
): readonly ShedOrder[] {
  return counts
    .map(({rank, organisation, count, node: owner}, index) => ({
      owner,
      order: {
        rank,
        organisation,
        count,
        retryAfterMs: Math.round(
          SHED_RETRY_AFTER_MS * (1 + index / counts.length),
        ),
      },
    }))
    .filter(({owner}) => owner === node)
    .map(({order}) => order);
}

/** Groups the slots of one entry into grants by line and endpoint. */
function toGrants(
  leadership: LeadershipState,
  since: GrantedSince,
  slots: readonly AllocatedSlot[],
): readonly Grant[] {
  const groups = new Map<string, Grant>();
  for (const slot of slots) {
    if (slot.node !== since.node) {
      continue;
    }
    const {rank, organisation, target} = slot;
    const key = `${rank}/${organisation}/${target.endpoint}`;
    const group = groups.get(key);
    const id = formatGrantId(leadership, since, groups.size);
    groups.set(
      key,
      group === undefined
        ? {id, rank, organisation, target, count: 1}
        : {...group, count: group.count + 1},
    );
  }
  return [...groups.values()];
}

function formatGrantId(
  leadership: LeadershipState,
  since: GrantedSince,
  index: number,
): GrantId {
  const {set, epoch} = leadership;
  const {sequence, parts} = since;
  return `${set}.${epoch}.${sequence}.${parts + 1}.${index}` as GrantId;
}
