import type {TurnTime} from '@gentianshunt/board';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {EntryController, EntryMessage} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';

import {
  answerInquiry,
  endInquiries,
  receiveAnswer,
  startInquiries,
} from './originInquiries.js';
import {expireOrigins, receiveOrigins} from './keptOrigins.js';
import {
  confirmOrigins,
  recordOrigins,
  resendReports,
  reportOrigins,
} from './originRecords.js';
import {
  createOriginDraft,
  ORIGIN_READS,
  ORIGIN_SECTIONS,
} from './originView.js';
import type {
  OriginDraft,
  OriginReads,
  OriginSections,
  OriginView,
} from './originView.js';
import {recordDoubts, recordSeenSoftware} from './seenSoftware.js';
import {
  answerHistory,
  receiveHistory,
  requestHistories,
} from './softwareHistories.js';

/**
 * Creates the controller that remembers which software began the streams that
 * may be taken up, here and for other entries.
 */
export function createOriginController(): EntryController {
  return defineEntryController<OriginReads, OriginSections>({
    name: 'streamOrigins',
    reads: ORIGIN_READS,
    writes: ORIGIN_SECTIONS,
    observes: ['entryMessage', 'timerDue'],
    run: (view, now) => {
      const draft = createOriginDraft(view, now);
      if (draft.holders.directory !== view.board.originHolders?.directory) {
        // Origins may wait for an entry to report them to.
        draft.startTimer();
      }
      recordDoubts(view, draft, now);
      recordSeenSoftware(view, draft, now);
      if (view.readChanges('knownEndpoints').size > 0) {
        requestHistories(view, draft, now);
      }
      recordOrigins(view, draft, now);
      if (view.readChanges('service').size > 0) {
        // A draining entry reports what no other will be able to ask it.
        reportOrigins(view, draft, now);
      }
      startInquiries(view, draft, now);
      handleObservation(view, draft, now);
      return draft.listWrites();
    },
  });
}

function handleObservation(
  view: OriginView,
  draft: OriginDraft,
  now: TurnTime,
): void {
  const {observation} = view;
  switch (observation?.kind) {
    case 'entryMessage':
      handleMessage(view, draft, observation.from, observation.message, now);
      return;
    case 'timerDue':
      if (observation.timer.kind === 'streamOrigins') {
        handleTimer(view, draft, now);
      }
      if (observation.timer.kind === 'housekeeping') {
        expireOrigins(view, draft, now);
        requestHistories(view, draft, now);
      }
      return;
    default:
      return;
  }
}

function handleTimer(
  view: OriginView,
  draft: OriginDraft,
  now: TurnTime,
): void {
  draft.endTimer();
  reportOrigins(view, draft, now);
  if (endInquiries(view, draft, now)) {
    draft.startTimer();
  }
}

function handleMessage(
  view: OriginView,
  draft: OriginDraft,
  from: NodeId,
  message: EntryMessage,
  now: TurnTime,
): void {
  switch (message.kind) {
    case 'streamOriginsReported':
      receiveOrigins(view, draft, from, message, now);
      return;
    case 'streamOriginsKept':
      confirmOrigins(view, draft, from, message.attempts, now);
      return;
    case 'streamOriginsRequested':
      resendReports(view, draft, from, message.set);
      return;
    case 'streamOriginRequested':
      answerInquiry(view, draft, from, message, now);
      return;
    case 'streamOriginAnswered':
      receiveAnswer(draft, from, message, now);
      return;
    case 'softwareHistoryRequested':
      answerHistory(view, draft, from, message.set, now);
      return;
    case 'softwareHistoryReported':
      receiveHistory(view, draft, from, message.set, message.history, now);
      return;
    default:
      return;
  }
}
