import type {TurnTime} from '@gentianshunt/board';
import {
  defineEntryController,
  findLeftIncarnation,
  findOtherEntry,
  isLaterIncarnation,
  listOtherEntries,
  toLeftIncarnation,
} from '@gentianshunt/entryModel';
import type {
  EndpointAnnouncement,
  EntryController,
  EntryMessage,
  EntryTimer,
  LeftIncarnation,
  WithdrawalSource,
} from '@gentianshunt/entryModel';
import {findObject} from '@gentianshunt/configuration';
import type {EndpointId, NodeId} from '@gentianshunt/identifiers';

import {
  checkLease,
  checkPause,
  handleCatchUpReport,
  startAfterStart,
  stepCatchUp,
} from './leaveCatchUp.js';
import {
  broadcastLeave,
  confirmLeave,
  resumeConfirmation,
  stepConfirmations,
} from './leaveConfirmation.js';
import {learnStoredLeaves, storeLeaves} from './storedLeaves.js';
import {createWithdrawalDraft} from './withdrawalDraft.js';
import type {LearntLeave, WithdrawalDraft} from './withdrawalDraft.js';
import {
  dropPositions,
  handleLeavesReport,
  handleLeavesRequest,
  syncWithdrawals,
} from './withdrawalExchange.js';
import {sendTo, WITHDRAWAL_READS, WITHDRAWAL_WRITES} from './withdrawalView.js';
import type {
  WithdrawalReads,
  WithdrawalView,
  WithdrawalWrites,
} from './withdrawalView.js';

/** Most withdrawals that an entry remembers; the oldest give way. */
export const MAX_WITHDRAWALS = 16_384;

/**
 * Creates the controller that withdraws endpoints that leave. What is known of
 * leaves is state that all entries keep and compare with each other: the entry
 * that an endpoint tells notifies all others, which is the fast way, and entries
 * exchange what a notification did not reach. See docs/design/leaves.md.
 */
export function createWithdrawalController(): EntryController {
  return defineEntryController<WithdrawalReads, WithdrawalWrites>({
    name: 'withdrawals',
    reads: WITHDRAWAL_READS,
    writes: WITHDRAWAL_WRITES,
    observes: [
      'started',
      'leavesRestored',
      'endpointContact',
      'endpointLeft',
      'endpointSignalled',
      'entryMessage',
      'timerDue',
    ],
    run: (view, now) => {
      const draft = createWithdrawalDraft(view, now);
      checkPause(view, draft, now);
      checkLease(view, draft, now);
      handleObservation(view, draft, now);
      storeLeaves(view, draft, now);
      return draft.listWrites();
    },
  });
}

function handleObservation(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  now: TurnTime,
): void {
  const {observation} = view;
  switch (observation?.kind) {
    case 'started':
      startAfterStart(draft, now);
      return;
    case 'leavesRestored':
      learnStoredLeaves(view, draft, observation.leaves);
      return;
    case 'endpointContact':
      handleContact(view, draft, observation.announcement, now);
      return;
    case 'endpointLeft':
      handleLeave(view, draft, observation.endpoint, 'endpoint', now);
      return;
    case 'endpointSignalled':
      if (observation.signals.isLeaving) {
        handleLeave(view, draft, observation.endpoint, 'answer', now);
      }
      return;
    case 'entryMessage':
      handleMessage(view, draft, observation.from, observation.message, now);
      return;
    case 'timerDue':
      handleTimer(view, draft, observation.timer, now);
      return;
    default:
  }
}

function handleTimer(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  {kind}: EntryTimer,
  now: TurnTime,
): void {
  if (kind === 'housekeeping') {
    expireWithdrawals(view, draft, now);
    syncWithdrawals(view, draft, now);
    dropPositions(view, draft);
  }
  if (kind === 'housekeeping' || kind === 'withdrawalExchange') {
    stepCatchUp(view, draft, now);
    stepConfirmations(view, draft, now);
  }
}

function handleContact(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  announcement: EndpointAnnouncement,
  now: TurnTime,
): void {
  const self = view.board.identity.address.node;
  if (announcement.leaving) {
    const {endpoint} = announcement;
    const left = toLeftIncarnation(announcement);
    recordLeave(view, draft, endpoint, left, 'endpoint', now);
  } else {
    learnReturn(draft, announcement, 'endpoint', self);
  }
}

function handleLeave(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  endpoint: EndpointId,
  source: WithdrawalSource,
  now: TurnTime,
): void {
  const left = findLeftIncarnation(view.board, endpoint, now);
  recordLeave(view, draft, endpoint, left, source, now);
}

/** Withdraws an endpoint that told this entry, and notifies all others once. */
function recordLeave(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  endpoint: EndpointId,
  left: LeftIncarnation,
  source: WithdrawalSource,
  now: TurnTime,
): void {
  const learntFrom = view.board.identity.address.node;
  if (learnLeave(draft, {endpoint, left, source, learntFrom})) {
    broadcastLeave(view, draft, endpoint, left, now);
  } else {
    resumeConfirmation(view, draft, endpoint, now);
  }
}

/** What an entry is told of a leave. */
interface ToldLeave {
  readonly endpoint: EndpointId;
  readonly left: LeftIncarnation;
  readonly source: WithdrawalSource;
  readonly learntFrom: NodeId;
}

function learnLeave(
  draft: WithdrawalDraft,
  {endpoint, left, source, learntFrom}: ToldLeave,
): boolean {
  const leave: LearntLeave = {
    endpoint,
    state: 'left',
    incarnation: left,
    source,
    learntFrom,
    readFrom: null,
  };
  return draft.learn(leave);
}

/** Lifts the withdrawal of an endpoint that has started since it left. */
function learnReturn(
  draft: WithdrawalDraft,
  announcement: EndpointAnnouncement,
  source: WithdrawalSource,
  learntFrom: NodeId,
): boolean {
  const {endpoint} = announcement;
  const known = draft.find(endpoint);
  return (
    known?.state === 'left' &&
    isLaterIncarnation(announcement, known.incarnation) &&
    draft.learn({
      endpoint,
      state: 'returned',
      incarnation: toLeftIncarnation(announcement),
      source,
      learntFrom,
      readFrom: null,
    })
  );
}

function handleMessage(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  from: NodeId,
  message: EntryMessage,
  now: TurnTime,
): void {
  switch (message.kind) {
    case 'endpointLeft': {
      const {endpoint, left} = message;
      const source = 'notification';
      learnLeave(draft, {endpoint, left, source, learntFrom: from});
      confirmLeave(view, draft, endpoint, left);
      if (message.isConfirmationRequested) {
        sendConfirmation(view, draft, from, endpoint, left);
      }
      return;
    }
    case 'leaveConfirmed':
      confirmLeave(view, draft, message.endpoint, message.left);
      return;
    case 'endpointAnnounced':
      handleForwarded(view, draft, from, message.announcement);
      return;
    case 'withdrawalsRequested':
      handleLeavesRequest(view, draft, from, message, now);
      return;
    case 'withdrawalsReported':
      handleLeavesReport(view, draft, from, message);
      for (const {endpoint, state, incarnation} of message.withdrawals) {
        if (state === 'left') {
          confirmLeave(view, draft, endpoint, incarnation);
        }
      }
      handleCatchUpReport(draft, from, message, now);
      return;
    default:
  }
}

function sendConfirmation(
  {board}: WithdrawalView,
  draft: WithdrawalDraft,
  to: NodeId,
  endpoint: EndpointId,
  left: LeftIncarnation,
): void {
  const address = findOtherEntry(board, to);
  if (address !== undefined) {
    draft.add(sendTo(address, {kind: 'leaveConfirmed', endpoint, left}));
  }
}

/** The set leader notifies the others of an endpoint that is back. */
function handleForwarded(
  view: WithdrawalView,
  draft: WithdrawalDraft,
  from: NodeId,
  announcement: EndpointAnnouncement,
): void {
  const {endpoint, set, leaving} = announcement;
  const source = 'notification';
  if (leaving) {
    const left = toLeftIncarnation(announcement);
    learnLeave(draft, {endpoint, left, source, learntFrom: from});
    return;
  }
  const {configuration, identity} = view.board;
  const isLeader =
    findObject(configuration, 'setLeadership', set)?.node ===
    identity.address.node;
  if (learnReturn(draft, announcement, source, from) && isLeader) {
    for (const address of listOtherEntries(view.board)) {
      draft.add(sendTo(address, {kind: 'endpointAnnounced', announcement}));
    }
  }
}

function expireWithdrawals(
  {board}: WithdrawalView,
  draft: WithdrawalDraft,
  now: TurnTime,
): void {
  const records = [...board.leaveRecords];
  const excess = records.length - MAX_WITHDRAWALS;
  const dropped =
    excess > 0
      ? records
          .sort(([, left], [, right]) => left.until - right.until)
          .slice(0, excess)
      : records.filter(([, {until}]) => until <= now.monotonic);
  dropped.forEach(([endpoint]) => draft.drop(endpoint));
}
