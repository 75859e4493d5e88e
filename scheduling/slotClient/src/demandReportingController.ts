import type {TurnTime} from '@gentianshunt/board';
import {findObject} from '@gentianshunt/configuration';
import type {ObjectKey} from '@gentianshunt/configuration';
import {
  defineEntryController,
  findEntryAddress,
  isIsolated,
  iterateQueues,
} from '@gentianshunt/entryModel';
import type {
  DemandReport,
  DemandReportingState,
  EntryController,
  EntryWrite,
} from '@gentianshunt/entryModel';
import type {EndpointSetId} from '@gentianshunt/identifiers';

import {createDemandReport} from './demandReport.js';
import type {ReportingReads, ReportingView} from './demandReport.js';
import {
  applyTrigger,
  createReportingState,
  NO_TRIGGER,
  spendCredit,
} from './reportingState.js';
import type {ReportTrigger} from './reportingState.js';
import {computeReportDelay} from './reportTimes.js';
import {countGranted, countReported} from './staleCapacity.js';

type ReportingWrite = EntryWrite<'demandReporting'>;

/**
 * Creates the controller that sends demand reports to the set leaders and
 * decides when the next one is due.
 */
export function createDemandReportingController(): EntryController {
  return defineEntryController<ReportingReads, 'demandReporting'>({
    name: 'demandReporting',
    reads: [
      'identity',
      'control',
      'configuration',
      'queues',
      'arrivalRates',
      'waiting',
      'running',
      'slots',
      'matches',
      'patience',
      'decodeRates',
      'endpointHealth',
      'reach',
      'knownEndpoints',
      'demandReporting',
      'acceptedReply',
      'openCapacities',
      'setUse',
      'usedSlots',
    ],
    writes: ['demandReporting'],
    observes: ['timerDue', 'entryMessage'],
    run: (view, now) => {
      const writes: ReportingWrite[] = [];
      for (const [set, trigger] of listAffectedSets(view)) {
        writes.push(...updateReporting(view, set, trigger, now));
      }
      return writes;
    },
  });
}

function listAffectedSets(
  view: ReportingView,
): ReadonlyMap<EndpointSetId, ReportTrigger> {
  const triggers = new Map<EndpointSetId, ReportTrigger>();
  const addTrigger = (
    set: EndpointSetId,
    trigger: Partial<ReportTrigger>,
  ): void => {
    triggers.set(set, {...(triggers.get(set) ?? NO_TRIGGER), ...trigger});
  };
  addDemandTriggers(view, addTrigger);
  addReplyTriggers(view, addTrigger);
  addLeadershipTriggers(view, addTrigger);
  addReachTriggers(view, addTrigger);
  const {observation} = view;
  const isTimerDue =
    observation?.kind === 'timerDue' &&
    (observation.timer.kind === 'demandReporting' ||
      observation.timer.kind === 'housekeeping');
  if (isTimerDue || view.readChanges('matches').size > 0) {
    for (const set of view.board.demandReporting.keys()) {
      addTrigger(set, {});
    }
  }
  return triggers;
}

type AddTrigger = (set: EndpointSetId, trigger: Partial<ReportTrigger>) => void;

/**
 * Adds the sets whose queues or running requests changed. Capacity that became
 * free needs an urgent report only while requests wait for it. Matched requests
 * do not wait for capacity; their dispatch changes the queues again.
 */
function addDemandTriggers(view: ReportingView, addTrigger: AddTrigger): void {
  const hasNoMatches = view.board.matches.size === 0;
  for (const section of ['running', 'queues'] as const) {
    for (const key of view.readChanges(section)) {
      const {set} = key as {readonly set: EndpointSetId};
      const hasWaiting =
        iterateQueues(view.board.queues, set).next().done !== true;
      addTrigger(set, {
        urgency: hasNoMatches && hasWaiting ? 'urgent' : 'lazy',
      });
    }
  }
}

function addReplyTriggers(view: ReportingView, addTrigger: AddTrigger): void {
  const reply = view.board.acceptedReply;
  if (reply !== null && view.readChanges('acceptedReply').size > 0) {
    addTrigger(reply.set, {
      replied: true,
      granted: countGranted(reply),
      obstructed: reply.obstacle !== null,
    });
  }
  const {observation} = view;
  if (
    observation?.kind !== 'entryMessage' ||
    observation.message.kind !== 'notSetLeader'
  ) {
    return;
  }
  const {set, sequence} = observation.message;
  const state = view.board.demandReporting.get(set);
  if (state?.inFlight === true && state.sequence === sequence) {
    addTrigger(set, {refused: true});
  }
}

function addLeadershipTriggers(
  view: ReportingView,
  addTrigger: AddTrigger,
): void {
  for (const key of view.readChanges('configuration')) {
    const object = view.board.configuration.get(key as ObjectKey);
    if (
      object?.kind === 'setLeadership' &&
      view.board.demandReporting.has(object.id)
    ) {
      addTrigger(object.id, {});
    }
  }
}

/** Adds all sets when this entry has become isolated: it gives its slots back. */
function addReachTriggers(view: ReportingView, addTrigger: AddTrigger): void {
  if (view.readChanges('reach').size > 0 && isIsolated(view.board.reach)) {
    for (const set of view.board.demandReporting.keys()) {
      addTrigger(set, {urgency: 'urgent'});
    }
  }
}

function updateReporting(
  view: ReportingView,
  set: EndpointSetId,
  trigger: ReportTrigger,
  now: TurnTime,
): readonly ReportingWrite[] {
  const before =
    view.board.demandReporting.get(set) ?? createReportingState(set, now);
  const leadership = findObject(view.board.configuration, 'setLeadership', set);
  const epoch = leadership?.epoch ?? 0;
  const state = applyTrigger(before, trigger, epoch, now);
  const dueInMs = computeReportDelay(view, state, now);
  // A matched request counts neither as waiting nor as running. In a report
  // sent now, the leader would see its capacity as free.
  const hasMatches = view.board.matches.size > 0;
  if (dueInMs === undefined || leadership === undefined || hasMatches) {
    return state === before ? [] : [putReportingState(state)];
  }
  if (dueInMs > 0) {
    return [
      putReportingState(state),
      {
        kind: 'effect',
        effect: {
          kind: 'setTimer',
          timer: {kind: 'demandReporting'},
          delayMs: dueInMs,
        },
      },
    ];
  }
  const address = findEntryAddress(
    view.board.control.directory,
    leadership.node,
  );
  if (address === undefined) {
    return [putReportingState(state)];
  }
  const sequence = state.sequence + 1;
  const report = createDemandReport(view, set, leadership.epoch, sequence, now);
  return [
    putReportingState({
      set,
      sequence,
      epoch: leadership.epoch,
      sentAt: now.monotonic,
      changedAt: now.monotonic,
      inFlight: true,
      urgency: 'none',
      failures: state.inFlight ? state.failures + 1 : state.failures,
      credit: spendCredit(state, now),
      items: countItems(report),
      held: countReported(report),
      roundTripMs: state.roundTripMs,
      repliedAt: state.repliedAt,
      obstructedSince: state.obstructedSince,
      grantedAt: state.grantedAt,
    }),
    {
      kind: 'effect',
      effect: {
        kind: 'sendEntry',
        to: leadership.node,
        address,
        message: {kind: 'demandReport', report},
      },
    },
  ];
}

function putReportingState(state: DemandReportingState): ReportingWrite {
  return {
    kind: 'put',
    section: 'demandReporting',
    key: state.set,
    value: state,
  };
}

function countItems(report: DemandReport): number {
  return report.waiting.length + report.running.length + report.unspent.length;
}
