import type {EntryObservation, EntryOrder} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {DispatchId, RequestId} from '@gentianshunt/identifiers';

import type {Arrival} from './arrivals.js';
import {
  findEngine,
  listAnnouncements,
  toFacts,
  toRequestId,
} from './entryFacts.js';
import {createEntryProcess} from './entryProcess.js';
import type {EntryProcess} from './entryProcess.js';
import {CONTROL_NODE, createFakeControl} from './fakeControl.js';
import {FAULT_AT_MS} from './fault.js';
import type {Fleet} from './fleet.js';
import type {Scheduler, SchedulerOptions} from './scheduler.js';

/** Time between two announcements of an endpoint. */
export const ANNOUNCE_INTERVAL_MS = 500;
/** Time after which the control daemons give a lost leader's sets away. */
export const FAILOVER_MS = 3_000;

/** Creates the chosen policy: real entries that pass messages in memory. */
export function createEntryCluster(options: SchedulerOptions): Scheduler {
  const {profile, timeline, recorder, fault} = options;
  const control = createFakeControl(profile);
  const arrivals = new Map<string, Arrival>();
  const placed = new Map<string, EntryProcess>();
  const processes = new Map<string, EntryProcess>();
  let fleet: Fleet;
  const deliver = (
    process: EntryProcess | undefined,
    observation: EntryObservation,
  ): void => {
    timeline.schedule(profile.linkMs, () => process?.post(observation));
  };

  const perform = (process: EntryProcess, order: EntryOrder): void => {
    switch (order.kind) {
      case 'openStream': {
        const arrival = arrivals.get(order.request.id)!;
        recorder.noteDispatch(arrival);
        const engine = findEngine(fleet, order.dispatch.target.endpoint);
        timeline.schedule(profile.linkMs, () => engine.start(arrival));
        return;
      }
      case 'cancelStream': {
        const arrival = arrivals.get(toRequestId(order.dispatch.id))!;
        const engine = findEngine(fleet, order.dispatch.target.endpoint);
        timeline.schedule(profile.linkMs, () => engine.cancel(arrival));
        return;
      }
      case 'refuseCaller': {
        const {request, reason} = order.refusal;
        const kind = reason.kind === 'shed' ? 'shed' : 'cut';
        recorder.noteOutcome(arrivals.get(request)!, kind);
        return;
      }
      case 'sendEntry':
        deliver(processes.get(order.to), {
          kind: 'entryMessage',
          from: process.id,
          message: order.message,
        });
        return;
      case 'sendControl': {
        const message = control.answer(order.message);
        if (message !== undefined) {
          deliver(process, {
            kind: 'controlMessage',
            from: CONTROL_NODE,
            message,
          });
        }
        return;
      }
      case 'setTimer':
        process.setTimer(order);
        return;
      default:
        ignoreOrder(order);
    }
  };

  const listAlive = (): readonly EntryProcess[] =>
    [...processes.values()].filter(process => process.isAlive());

  const announce = (): void => {
    const alive = listAlive();
    listAnnouncements(fleet).forEach((announcement, index) =>
      deliver(alive[index % alive.length], {
        kind: 'endpointContact',
        announcement,
      }),
    );
    timeline.schedule(ANNOUNCE_INTERVAL_MS, announce);
  };

  const loseLeader = (): void => {
    const lost = processes.get(profile.entries[0]!)!;
    lost.stop();
    for (const [id, process] of placed) {
      if (process === lost) {
        recorder.noteOutcome(arrivals.get(id)!, 'cut');
        fleet.engines.forEach(engine => engine.cancel(arrivals.get(id)!));
      }
    }
    timeline.schedule(FAILOVER_MS, () =>
      control.moveLeadership(profile.entries[1]!),
    );
  };

  const tellStream = (
    arrival: Arrival,
    create: (dispatch: DispatchId) => EntryObservation,
  ): void => {
    const dispatch = `${arrival.id}.d` as DispatchId;
    deliver(placed.get(arrival.id), create(dispatch));
  };

  return {
    begin: started => {
      fleet = started;
      profile.entries.forEach(id =>
        processes.set(id, createEntryProcess({id, timeline, perform})),
      );
      listAlive().forEach(process => process.post({kind: 'started'}));
      announce();
      if (fault === 'leaderLost') {
        timeline.schedule(FAULT_AT_MS, loseLeader);
      }
    },
    receive: arrival => {
      const wanted = processes.get(arrival.entry)!;
      const process = wanted.isAlive() ? wanted : listAlive()[0]!;
      arrivals.set(arrival.id, arrival);
      placed.set(arrival.id, process);
      process.post({kind: 'requestReceived', facts: toFacts(arrival)});
    },
    loseCaller: arrival => {
      recorder.noteOutcome(arrival, 'abandoned');
      placed.get(arrival.id)?.post({
        kind: 'callerGone',
        request: arrival.id as RequestId,
      });
    },
    startAnswer: arrival => {
      recorder.noteFirstToken(arrival);
      tellStream(arrival, dispatch => ({kind: 'streamStarted', dispatch}));
    },
    reportProgress: (arrival, answerTokens) =>
      tellStream(arrival, dispatch => ({
        kind: 'tokensStreamed',
        dispatch,
        answerTokens,
      })),
    endAnswer: arrival => {
      recorder.noteOutcome(arrival, 'answered');
      tellStream(arrival, dispatch => ({
        kind: 'streamEnded',
        dispatch,
        end: {kind: 'complete'},
        stored: null,
      }));
    },
    cutAnswer: arrival => {
      recorder.noteOutcome(arrival, 'cut');
      tellStream(arrival, dispatch => ({
        kind: 'streamEnded',
        dispatch,
        end: {kind: 'cut', detail: 'connection reset', events: 0},
        stored: null,
      }));
    },
  };
}

/** The orders that need no engine, entry or timer of the bench. */
function ignoreOrder(
  order: Exclude<
    EntryOrder,
    {
      readonly kind:
        | 'openStream'
        | 'cancelStream'
        | 'refuseCaller'
        | 'sendEntry'
        | 'sendControl'
        | 'setTimer';
    }
  >,
): void {
  switch (order.kind) {
    case 'resumeStream':
    case 'redirectEntry':
    case 'tell':
    case 'sendEndpointOrder':
    case 'answerAddresses':
    case 'repeatAnswer':
    case 'answerOperator':
    case 'recordEnd':
    case 'exit':
      return;
    default:
      assertNever(order, 'ignoreOrder');
  }
}
