import type {TurnTime} from '@gentianshunt/board';
import {defineControlController} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlObservation,
} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import type {ConsensusMessage} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import {createConsensusDraft} from './consensusDraft.js';
import type {
  ConsensusDraft,
  ConsensusReads,
  ConsensusSections,
} from './consensusDraft.js';
import {
  handleElectionTimer,
  handleVoteReply,
  handleVoteRequest,
} from './election.js';
import {
  advanceCommit,
  appendPayloads,
  handleAppendReply,
  handleAppendRequest,
  handleHeartbeatTimer,
} from './replication.js';
import {armElection, resetElection} from './timing.js';

/** Creates the controller that keeps the replicated log. */
export function createConsensusController(): ControlController {
  return defineControlController<ConsensusReads, ConsensusSections>({
    name: 'consensus',
    reads: [
      'identity',
      'ballot',
      'role',
      'log',
      'logStatus',
      'progress',
      'election',
      'persistSequence',
      'held',
      'proposals',
    ],
    writes: [
      'ballot',
      'role',
      'log',
      'logStatus',
      'progress',
      'election',
      'persistSequence',
      'held',
    ],
    observes: ['started', 'timerDue', 'persisted', 'consensusMessage'],
    run: (view, now) => {
      const draft = createConsensusDraft(view);
      if (view.observation !== undefined) {
        handleObservation(draft, view.observation, now);
      }
      const {proposals} = view.board;
      const isProposed = view.readChanges('proposals').size > 0;
      if (isProposed && proposals.length > 0 && draft.role.kind === 'leader') {
        appendPayloads(draft, proposals, now);
      }
      return draft.listWrites();
    },
  });
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
      if (observation.timer.kind === 'election') {
        handleElectionTimer(draft, now);
      }
      if (observation.timer.kind === 'heartbeat') {
        handleHeartbeatTimer(draft, now);
      }
      return;
    case 'persisted':
      handlePersisted(draft, observation.sequence);
      return;
    case 'consensusMessage':
      handleMessage(draft, observation.from, observation.message, now);
      return;
    case 'entryMessage':
      return;
    default:
      assertNever(observation, 'handleObservation');
  }
}

/** Takes up what the disk held at the start. */
function handleStarted(
  draft: ConsensusDraft,
  started: Extract<ControlObservation, {readonly kind: 'started'}>,
  now: TurnTime,
): void {
  draft.restore(started.ballot, started.entries);
  resetElection(draft, now);
  armElection(draft, now);
}

/** A batch is on disk, and with it every batch before it. */
function handlePersisted(draft: ConsensusDraft, sequence: number): void {
  const released = draft.release(sequence);
  const syncedIndex = Math.max(
    draft.status.syncedIndex,
    ...released.map(batch => batch.lastIndex),
  );
  draft.setStatus({...draft.status, syncedIndex});
  advanceCommit(draft);
}

function handleMessage(
  draft: ConsensusDraft,
  from: NodeId,
  message: ConsensusMessage,
  now: TurnTime,
): void {
  switch (message.kind) {
    case 'voteRequest':
      handleVoteRequest(draft, from, message, now);
      return;
    case 'voteReply':
      handleVoteReply(draft, from, message, now);
      return;
    case 'appendRequest':
      handleAppendRequest(draft, from, message, now);
      return;
    case 'appendReply':
      handleAppendReply(draft, from, message, now);
      return;
    default:
      assertNever(message, 'handleMessage');
  }
}
