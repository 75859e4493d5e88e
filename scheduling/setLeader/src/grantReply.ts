import type {TurnTime, View} from '@gentianshunt/board';
import {findEntryAddress} from '@gentianshunt/entryModel';
import type {
  DemandReportRecord,
  EntryObservation,
  EntrySections,
  EntryWrite,
  Grant,
  GrantObstacle,
  GrantsSinceReport,
  LeadershipState,
  OpenCapacity,
  ShedInstruction,
} from '@gentianshunt/entryModel';
import type {GrantId, NodeId} from '@gentianshunt/identifiers';
import {SHED_RETRY_AFTER_MS} from '@gentianshunt/policy';
import type {WaitingCount} from '@gentianshunt/policy';

import type {AllocatedSlot} from './allocation.js';
import {SLOT_LIFETIME_MS} from './leadershipController.js';
import {limitOpenTargets} from './openCapacity.js';

type ReplyView = View<EntrySections, 'control', EntryObservation>;

/** The slots that the leader grants and the requests that it sheds. */
export interface LeaderDecision {
  readonly slots: ReadonlyMap<NodeId, readonly AllocatedSlot[]>;
  readonly shed: readonly WaitingCount[];
  readonly open: OpenCapacity | null;
  /** The highest tier of which requests still wait; `null` if none do. */
  readonly waitingRank: number | null;
  /** Why nothing can be granted at all; `null` if something can. */
  readonly obstacle: GrantObstacle | null;
}

/** Creates the decision of a leader that can grant nothing. */
export function createEmptyDecision(obstacle: GrantObstacle): LeaderDecision {
  return {slots: new Map(), shed: [], open: null, waitingRank: null, obstacle};
}

/** Groups slots by the entry that they are allocated to. */
export function mergeByNode(
  slots: readonly AllocatedSlot[],
): LeaderDecision['slots'] {
  const groups = new Map<NodeId, AllocatedSlot[]>();
  for (const slot of slots) {
    const group = groups.get(slot.node);
    if (group === undefined) {
      groups.set(slot.node, [slot]);
    } else {
      group.push(slot);
    }
  }
  return groups;
}

/**
 * Answers an entry's demand report. A report that was answered before gets a
 * further reply only if there are new grants or requests to shed.
 */
export function answerDemandReport(
  view: ReplyView,
  leadership: LeadershipState,
  record: DemandReportRecord,
  grantedByNode: ReadonlyMap<NodeId, GrantsSinceReport>,
  decision: LeaderDecision,
  now: TurnTime,
): readonly EntryWrite<'grantsSinceReport'>[] {
  const granted = grantedByNode.get(record.node)!;
  const slots = decision.slots.get(record.node) ?? [];
  const grants = toGrants(leadership, granted, slots);
  const shed = toShedInstructions(record.node, decision.shed);
  const isAnswered = granted.parts > 0;
  const isEmpty = grants.length === 0 && shed.length === 0;
  if (isAnswered && isEmpty) {
    return [];
  }
  const address = findEntryAddress(view.board.control.directory, record.node);
  if (address === undefined) {
    return [];
  }
  const part = granted.parts + 1;
  const newlyGranted = grants.map(grant => ({
    endpoint: grant.target.endpoint,
    rank: grant.rank,
    organisation: grant.organisation,
    count: grant.count,
  }));
  return [
    {
      kind: 'put',
      section: 'grantsSinceReport',
      key: {set: leadership.set, node: record.node},
      value: {
        ...granted,
        parts: part,
        slots: [...granted.slots, ...newlyGranted],
        shed: [...granted.shed, ...shed],
      },
    },
    {
      kind: 'effect',
      effect: {
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
            open: decision.open && limitOpenTargets(decision.open, record.node),
            waitingRank: decision.waitingRank,
            obstacle: decision.obstacle,
          },
        },
      },
    },
  ];
}

/**
 * Creates the shed instructions for one entry. Their retry delays differ, so
 * that the refused callers do not all return at the same time.
 */
function toShedInstructions(
  node: NodeId,
  counts: readonly WaitingCount[],
): readonly ShedInstruction[] {
  return counts
    .map(({rank, organisation, count, node: queueNode}, index) => ({
      queueNode,
      instruction: {
        rank,
        organisation,
        count,
        retryAfterMs: Math.round(
          SHED_RETRY_AFTER_MS * (1 + index / counts.length),
        ),
      },
    }))
    .filter(({queueNode}) => queueNode === node)
    .map(({instruction}) => instruction);
}

/** Groups the slots of one entry into grants by queue and endpoint. */
function toGrants(
  leadership: LeadershipState,
  granted: GrantsSinceReport,
  slots: readonly AllocatedSlot[],
): readonly Grant[] {
  const groups = new Map<string, Grant>();
  for (const slot of slots) {
    const {rank, organisation, target} = slot;
    const key = `${rank}/${organisation}/${target.endpoint}`;
    const group = groups.get(key);
    const id = formatGrantId(leadership, granted, groups.size);
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
  granted: GrantsSinceReport,
  index: number,
): GrantId {
  const {set, epoch} = leadership;
  const {sequence, parts} = granted;
  return `${set}.${epoch}.${sequence}.${parts + 1}.${index}` as GrantId;
}
