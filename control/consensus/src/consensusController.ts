import type {TurnTime} from '@gentianshunt/board';
import {defineControlController} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlObservation,
  ControlTimer,
} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import type {ConsensusMessage} from '@gentianshunt/messages';

import {handleAppendRequest} from './appendReceiver.js';
import {compactLog} from './compaction.js';
import {createConsensusDraft} from './consensusDraft.js';
import type {ConsensusDraft} from './consensusDraft.js';
import type {
  ConsensusReads,
  ConsensusSections,
  ConsensusView,
} from './consensusView.js';
import {
  handleElectionTimer,
  handleVoteReply,
  handleVoteRequest,
} from './election.js';
import {handleFollowerReply} from './followerReply.js';
import {handleHello} from './helloAnswer.js';
import {
  advanceCommitIndex,
  appendPayloads,
  handleHeartbeatTimer,
  stepDownIfRemoved,
} from './leadership.js';
import {followLeaderClock} from './leaderClock.js';
import {isInGroup} from './members.js';
import type {Sender} from './messageTypes.js';
import {recordPosition} from './rememberedPositions.js';
import {handleSnapshotChunk} from './snapshotReceiver.js';
import {
  addContacts,
  handleHelloReply,
  handleHelloTimer,
  handleStarted,
} from './startCheck.js';

const WRITES: readonly ConsensusSections[] = [
  'ballot',
  'role',
  'log',
  'logOffsets',
  'logStatus',
  'followerProgress',
  'electionTimer',
  'persistSequence',
  'unsyncedBatches',
  'memberships',
  'leadership',
  'leaderClock',
  'startCheck',
  'snapshot',
  'snapshotBytes',
  'incomingSnapshot',
  'rememberedPositions',
  'joiningNodes',
  'contacts',
];

/** Creates the controller of the replicated log. */
export function createConsensusController(): ControlController {
  return defineControlController<ConsensusReads, ConsensusSections>({
    name: 'consensus',
    reads: [
      'identity',
      'proposals',
      'memberProposals',
      'capturedState',
      ...WRITES,
    ],
    writes: WRITES,
    observes: [
      'started',
      'timerDue',
      'persisted',
      'membersLearnt',
      'consensusMessage',
    ],
    run: (view, now) => {
      const draft = createConsensusDraft(view);
      if (view.board.startCheck.kind === 'halted') {
        return [];
      }
      if (draft.role.kind === 'leader') {
        followLeaderClock(draft, now);
      }
      if (view.observation !== undefined) {
        handleObservation(draft, view.observation, now);
      }
      compactCapturedState(draft, view);
      appendProposals(draft, view, now);
      return draft.listWrites();
    },
  });
}

function compactCapturedState(
  draft: ConsensusDraft,
  view: ConsensusView,
): void {
  const {capturedState} = view.board;
  if (capturedState !== null && view.readChanges('capturedState').size > 0) {
    compactLog(draft, capturedState);
  }
}

function appendProposals(
  draft: ConsensusDraft,
  view: ConsensusView,
  now: TurnTime,
): void {
  if (draft.role.kind !== 'leader') {
    return;
  }
  for (const section of ['memberProposals', 'proposals'] as const) {
    const payloads = view.board[section];
    if (view.readChanges(section).size > 0 && payloads.length > 0) {
      appendPayloads(draft, payloads, now);
    }
  }
}

function handleObservation(
  draft: ConsensusDraft,
  observation: ControlObservation,
  now: TurnTime,
): void {
  switch (observation.kind) {
    case 'started':
      handleStarted(draft, observation, now);
      return;
    case 'timerDue':
      handleTimer(draft, observation.timer, now);
      return;
    case 'persisted':
      handlePersisted(draft, observation.sequence, now);
      return;
    case 'consensusMessage': {
      const {from: node, storage, message} = observation;
      handleMessage(draft, {node, storage}, message, now);
      return;
    }
    case 'membersLearnt':
      addContacts(draft, observation.members);
      return;
    case 'entryMessage':
      return;
    default:
      assertNever(observation, 'handleObservation');
  }
}

function handleTimer(
  draft: ConsensusDraft,
  timer: ControlTimer,
  now: TurnTime,
): void {
  switch (timer.kind) {
    case 'election':
      handleElectionTimer(draft, now);
      return;
    case 'heartbeat':
      handleHeartbeatTimer(draft, now);
      return;
    case 'hello':
      handleHelloTimer(draft, now);
      return;
    case 'sessions':
    case 'acknowledgements':
      return;
    default:
      assertNever(timer, 'handleTimer');
  }
}

/** Marks the entries of a synced batch and of all earlier ones as synced. */
function handlePersisted(
  draft: ConsensusDraft,
  sequence: number,
  now: TurnTime,
): void {
  const released = draft.disk.releaseThrough(sequence);
  const syncedIndex = Math.max(
    draft.status.syncedIndex,
    ...released.map(batch => batch.lastIndex),
  );
  draft.set('logStatus', {...draft.status, syncedIndex});
  advanceCommitIndex(draft);
  stepDownIfRemoved(draft, now);
}

function handleMessage(
  draft: ConsensusDraft,
  from: Sender,
  message: ConsensusMessage,
  now: TurnTime,
): void {
  if (!isAccepted(draft, from, message)) {
    return;
  }
  recordPosition(draft, from, message);
  switch (message.kind) {
    case 'memberHello':
      handleHello(draft, from, message, now);
      return;
    case 'memberHelloReply':
      handleHelloReply(draft, from, message, now);
      return;
    case 'voteRequest':
      handleVoteRequest(draft, from, message, now);
      return;
    case 'voteReply':
      handleVoteReply(draft, from, message, now);
      return;
    case 'appendRequest':
      handleAppendRequest(draft, from, message, now);
      return;
    case 'snapshotChunk':
      handleSnapshotChunk(draft, from, message, now);
      return;
    case 'appendReply':
    case 'snapshotChunkReply':
      handleFollowerReply(draft, from, message, now);
      return;
    default:
      assertNever(message, 'handleMessage');
  }
}

/**
 * Until the start check is over, a member neither votes nor acknowledges
 * entries, because its data folder may be a stale copy. An empty folder
 * accepts the log of a node that has answered its hello.
 */
function isAccepted(
  draft: ConsensusDraft,
  from: Sender,
  message: ConsensusMessage,
): boolean {
  const check = draft.read('startCheck');
  switch (message.kind) {
    case 'memberHello':
    case 'memberHelloReply':
      return check.kind !== 'halted';
    case 'appendRequest':
    case 'snapshotChunk':
      return (
        check.kind === 'ready' ||
        (check.kind === 'checking' &&
          !isInGroup(draft) &&
          check.answers.has(from.node))
      );
    default:
      return check.kind === 'ready';
  }
}
