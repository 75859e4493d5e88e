import type {TurnTime, View} from '@gentianshunt/board';
import {
  createDecisionWrite,
  defineControlController,
} from '@gentianshunt/controlModel';
import type {
  ClaimId,
  ControlController,
  ControlObservation,
  ControlSections,
  ControlWrite,
} from '@gentianshunt/controlModel';
import type {
  ConfigurationReplacement,
  EntryToControl,
  LogPayload,
} from '@gentianshunt/messages';
import type {
  EndpointSetId,
  IncarnationId,
  NodeId,
} from '@gentianshunt/identifiers';

import {limitOutcome} from './claimAnswers.js';
import {isLeaseRecoveryOver} from './leaderStatus.js';
import {proposeOrder} from './orderProposals.js';
import {
  findReply,
  isRecentlyProposed,
  REPLY_SECTIONS,
  toPendingRequest,
} from './pendingReplies.js';
import type {ReplyBoard} from './pendingReplies.js';
import {decideReplacement} from './replacementProposals.js';
import type {
  ReplacementBoard,
  ReplacementDecision,
} from './replacementProposals.js';

type ProposalReads =
  | keyof ReplyBoard
  | keyof ReplacementBoard
  | 'runningClaims'
  | 'configuration'
  | 'weightStore'
  | 'assignmentProposals'
  | 'proposals';
type ProposalView = View<ControlSections, ProposalReads, ControlObservation>;

/**
 * Creates the controller that proposes log payloads on the leading daemon, for
 * messages of entries, wanted assignments and expired claims.
 */
export function createProposalController(): ControlController {
  return defineControlController<ProposalReads, 'proposals'>({
    name: 'proposals',
    reads: [
      ...REPLY_SECTIONS,
      'identity',
      'log',
      'logOffsets',
      'logStatus',
      'snapshot',
      'runningClaims',
      'configuration',
      'weightStore',
      'assignmentProposals',
      'proposals',
    ],
    writes: ['proposals'],
    observes: ['entryMessage', 'timerDue'],
    run: (view, now) => {
      if (view.board.role.kind !== 'leader') {
        return [];
      }
      const replacement = decideRequestedReplacement(view);
      const value = [
        ...proposeForObservation(view, now),
        ...proposeReplacement(replacement),
        ...proposeAssignments(view),
      ];
      return [
        ...(value.length === 0
          ? []
          : [{kind: 'set', section: 'proposals', value} as const]),
        ...recordDeferred(replacement),
      ];
    },
  });
}

function proposeAssignments(view: ProposalView): readonly LogPayload[] {
  return view.readChanges('assignmentProposals').size === 0
    ? []
    : view.board.assignmentProposals.map(({set, node}) => ({
        kind: 'assignSetLeader',
        set,
        node,
      }));
}

function proposeForObservation(
  view: ProposalView,
  now: TurnTime,
): readonly LogPayload[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'entryMessage':
      return proposeForMessage(
        view,
        observation.from,
        observation.message,
        now,
      );
    case 'timerDue':
      return observation.timer.kind === 'sessions'
        ? [
            ...proposeClaimExpiry(view, now),
            ...proposeClaimLossOfEndedSessions(view, now),
          ]
        : [];
    default:
      return [];
  }
}

/** Proposes the payload of a message unless it is applied or proposed. */
function proposeForMessage(
  view: ProposalView,
  from: NodeId,
  message: EntryToControl,
  now: TurnTime,
): readonly LogPayload[] {
  if (message.kind === 'entryHeartbeat') {
    return proposeClaimLossOnRestart(
      view,
      message.entry.node,
      message.incarnation,
      now,
    );
  }
  if (message.kind === 'orderOffer' || message.kind === 'orderReport') {
    return proposeOrder(view.board, from, message, now);
  }
  if (message.kind === 'replacementRequest') {
    // `decideRequestedReplacement` decides for the payload and the log line.
    return [];
  }
  const request = toPendingRequest(from, message);
  const isHandled =
    request === undefined ||
    isRecentlyProposed(view.board, request, now) ||
    findReply(view.board, request, now) !== undefined;
  return isHandled ? [] : toPayloads(view, from, message, now);
}

function toPayloads(
  view: ProposalView,
  from: NodeId,
  message: EntryToControl,
  now: TurnTime,
): readonly LogPayload[] {
  const atMs = now.wall.getTime();
  switch (message.kind) {
    case 'commandRequest': {
      const setsInUse = listSetsInUse(view);
      return [{kind: 'command', command: message.command, setsInUse}];
    }
    case 'claimRequest': {
      const session = view.board.sessions.get(from);
      if (session === undefined) {
        return [];
      }
      const {key, digest, request} = message;
      const {incarnation} = session;
      return [
        {kind: 'claim', key, digest, node: from, incarnation, request, atMs},
      ];
    }
    case 'settleRequest': {
      const {key, request} = message;
      const outcome = limitOutcome(view.board, message.outcome);
      return [{kind: 'settleClaim', key, request, outcome, atMs}];
    }
    case 'countReportRequest':
      return [{kind: 'countReport', node: from, report: message.report, atMs}];
    default:
      return [];
  }
}

/** A replacement that an entry asks for, and what is done with it. */
interface RequestedReplacement {
  readonly replacement: ConfigurationReplacement;
  readonly decision: ReplacementDecision;
}

/**
 * Decides about a requested replacement. One that is applied needs no proposal,
 * although its reply may have to wait for the confirmations of entries.
 */
function decideRequestedReplacement({
  board,
  observation,
}: ProposalView): RequestedReplacement | undefined {
  if (
    observation?.kind !== 'entryMessage' ||
    observation.message.kind !== 'replacementRequest'
  ) {
    return undefined;
  }
  const {replacement} = observation.message;
  return board.source.version >= replacement.version
    ? undefined
    : {
        replacement,
        decision: decideReplacement(board, replacement.version),
      };
}

function proposeReplacement(
  requested: RequestedReplacement | undefined,
): readonly LogPayload[] {
  return requested?.decision.kind === 'propose'
    ? [
        {
          kind: 'replaceConfiguration',
          replacement: requested.replacement,
        },
      ]
    : [];
}

/** Records that a release has to wait until earlier bytes are stored. */
function recordDeferred(
  requested: RequestedReplacement | undefined,
): readonly ControlWrite<never>[] {
  if (requested?.decision.kind !== 'defer') {
    return [];
  }
  const {uncommittedBytes, unsyncedBytes} = requested.decision;
  return [
    createDecisionWrite({
      kind: 'releaseDeferred',
      release: requested.replacement.version,
      uncommittedBytes,
      unsyncedBytes,
    }),
  ];
}

function listSetsInUse(view: ProposalView): readonly EndpointSetId[] {
  const sets = new Set<EndpointSetId>();
  for (const session of view.board.sessions.values()) {
    session.setsInUse.forEach(set => sets.add(set));
  }
  return [...sets];
}

function proposeClaimExpiry(
  view: ProposalView,
  now: TurnTime,
): readonly LogPayload[] {
  const atMs = now.wall.getTime();
  const first = view.board.claimExpiry.readFirst();
  return first === undefined || first.key.expiresAtMs > atMs
    ? []
    : [{kind: 'expireClaims', atMs}];
}

/** Proposes to end the claims that earlier incarnations left running. */
function proposeClaimLossOnRestart(
  view: ProposalView,
  node: NodeId,
  keep: IncarnationId,
  now: TurnTime,
): readonly LogPayload[] {
  const first = findRunningIncarnation(view, node, '' as IncarnationId);
  if (first === undefined) {
    return [];
  }
  // The smallest identifier that sorts after the kept incarnation.
  const nextIncarnation = `${keep}\u0000` as IncarnationId;
  const other =
    first === keep
      ? findRunningIncarnation(view, node, nextIncarnation)
      : first;
  return other === undefined
    ? []
    : [{kind: 'loseClaims', node, keep, atMs: now.wall.getTime()}];
}

/** Finds the first incarnation with running claims, starting at `from`. */
function findRunningIncarnation(
  view: ProposalView,
  node: NodeId,
  from: IncarnationId,
): IncarnationId | undefined {
  const key = {node, incarnation: from, claim: '' as ClaimId};
  const [found] = view.board.runningClaims.iterateFrom(key);
  return found?.key.node === node ? found.key.incarnation : undefined;
}

/**
 * Proposes to end the running claims of entries without a session. Such an
 * entry may still report the outcome later.
 */
function proposeClaimLossOfEndedSessions(
  view: ProposalView,
  now: TurnTime,
): readonly LogPayload[] {
  if (!isLeaseRecoveryOver(view.board.role, now)) {
    return [];
  }
  return listClaimingNodes(view)
    .filter(node => !view.board.sessions.has(node))
    .map(node => ({
      kind: 'loseClaims',
      node,
      keep: null,
      atMs: now.wall.getTime(),
    }));
}

/** Lists the entries that have running claims. */
function listClaimingNodes(view: ProposalView): readonly NodeId[] {
  const nodes: NodeId[] = [];
  let from = '' as NodeId;
  for (;;) {
    const key = {
      node: from,
      incarnation: '' as IncarnationId,
      claim: '' as ClaimId,
    };
    const [found] = view.board.runningClaims.iterateFrom(key);
    if (found === undefined) {
      return nodes;
    }
    nodes.push(found.key.node);
    // The smallest identifier that sorts after this node.
    from = `${found.key.node}\u0000` as NodeId;
  }
}
