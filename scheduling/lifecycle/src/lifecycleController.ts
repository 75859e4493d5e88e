import type {TurnTime} from '@gentianshunt/board';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {EntryController} from '@gentianshunt/entryModel';
import type {ControlToEntry} from '@gentianshunt/messages';

import {admitRequest} from './admitRequest.js';
import {handleOpenQuotaRequests, handleQuotaDecision} from './quota.js';
import {handleClaimAnswer, resendClaimRequests} from './claims.js';
import {handleMatches, handleShedInstructions} from './matches.js';
import {checkWaitingTimes} from './waitingTimes.js';
import {refuseQueuedQuarantined} from './quarantinedRequests.js';
import {handleRelayEnded, forwardOpenRequests} from './relays.js';
import {createRequestDraft} from './requestDraft.js';
import type {
  LifecycleReads,
  LifecycleSections,
  LifecycleView,
  RequestDraft,
} from './requestDraft.js';
import {confirmCompletion, resendCompletions} from './claimCompletions.js';
import {handleAwaitedOrigins} from './awaitedOrigins.js';
import {handleAwaitedTests} from './awaitedTests.js';
import {handleTimeLimit} from './timeLimit.js';
import {
  endSilentStreams,
  handleCallerDisconnected,
  handleStreamEnded,
  handleStreamProgress,
} from './streams.js';

/**
 * Creates the controller that moves each request through its states, from
 * admission to its end.
 */
export function createLifecycleController(): EntryController {
  return defineEntryController<LifecycleReads, LifecycleSections>({
    name: 'lifecycle',
    reads: [
      'requests',
      'waiting',
      'queues',
      'dispatches',
      'running',
      'identity',
      'startedAt',
      'service',
      'control',
      'configuration',
      'matches',
      'acceptedReply',
      'withdrawnEndpoints',
      'quarantines',
      'streamOrigins',
      'originInquiries',
      'soundParts',
      'soundRequests',
      'brokenRuns',
      'reach',
      'setDemands',
      'arrivalRates',
      'dispatchRates',
      'openClaims',
      'claimCompletions',
      'silenceDeadlines',
      'quotaUsage',
      'openQuotaRequests',
      'awaitedTests',
      'silentQuotaOwners',
      'retryBudgets',
    ],
    writes: [
      'requests',
      'waiting',
      'queues',
      'dispatches',
      'running',
      'openClaims',
      'claimCompletions',
      'silenceDeadlines',
      'quotaUsage',
      'openQuotaRequests',
      'awaitedTests',
      'silentQuotaOwners',
      'retryBudgets',
    ],
    observes: [
      'requestReceived',
      'callerGone',
      'timeLimitReached',
      'streamStarted',
      'streamProgress',
      'streamEnded',
      'relayEnded',
      'controlMessage',
      'entryMessage',
      'timerDue',
    ],
    run: (view, now) => {
      const draft = createRequestDraft(view);
      handleObservation(view, draft, now);
      const reply = view.board.acceptedReply;
      if (reply !== null && view.readChanges('acceptedReply').size > 0) {
        handleShedInstructions(view, draft, reply, now);
      }
      if (view.readChanges('reach').size > 0) {
        forwardOpenRequests(view, draft, now);
      }
      if (view.readChanges('quarantines').size > 0) {
        handleAwaitedTests(view, draft, now);
      }
      handleAwaitedOrigins(view, draft, now);
      handleMatches(view, draft, now);
      return draft.listWrites();
    },
  });
}

function handleObservation(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
): void {
  const {observation} = view;
  switch (observation?.kind) {
    case 'requestReceived':
      admitRequest(view, draft, observation.attributes, now);
      return;
    case 'callerGone':
      handleCallerDisconnected(view, draft, observation.request, now);
      return;
    case 'timeLimitReached':
      handleTimeLimit(view, draft, observation.request, now);
      return;
    case 'streamStarted':
    case 'streamProgress':
      handleStreamProgress(view, draft, observation.dispatch, now);
      return;
    case 'streamEnded':
      handleStreamEnded(
        view,
        draft,
        observation.dispatch,
        observation.end,
        observation.stored,
        now,
      );
      return;
    case 'relayEnded':
      handleRelayEnded(view, draft, observation, now);
      return;
    case 'controlMessage':
      handleControlMessage(view, draft, observation.message, now);
      return;
    case 'entryMessage':
      if (observation.message.kind === 'quotaDecision') {
        handleQuotaDecision(view, draft, observation.message.decision, now);
      }
      return;
    case 'timerDue':
      if (observation.timer.kind === 'quotaRequests') {
        handleOpenQuotaRequests(view, draft, now);
      }
      if (observation.timer.kind === 'housekeeping') {
        resendClaimRequests(view, draft, now);
        resendCompletions(view, draft, now);
        endSilentStreams(view, draft, now);
        refuseQueuedQuarantined(view, draft, now);
        handleAwaitedTests(view, draft, now);
        checkWaitingTimes(view, draft, now);
        forwardOpenRequests(view, draft, now);
      }
      return;
    default:
      return;
  }
}

function handleControlMessage(
  view: LifecycleView,
  draft: RequestDraft,
  message: ControlToEntry,
  now: TurnTime,
): void {
  if (message.kind === 'claimReply') {
    const {request, answer} = message;
    handleClaimAnswer(view, draft, request, answer, now);
  }
  if (message.kind === 'settleReply') {
    confirmCompletion(view, draft, message.request, now);
  }
}
