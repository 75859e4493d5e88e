import type {
  EntryEffect,
  EntryObservation,
  StreamEnd,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {DispatchId, RequestId} from '@gentianshunt/identifiers';

import type {Arrival} from './arrivals.js';
import {
  findEngine,
  listAnnouncements,
  toRequest,
  toRequestId,
} from './entryInputs.js';
import {createEntryProcess} from './entryProcess.js';
import type {EntryProcess} from './entryProcess.js';
import {CONTROL_NODE, createFakeControl} from './fakeControl.js';
import {FAULT_START_MS} from './fault.js';
import type {Fleet} from './fleet.js';
import type {Scheduler, SchedulerOptions} from './scheduler.js';

/** Time between two announcements of an endpoint. */
export const ANNOUNCE_INTERVAL_MS = 500;
/** Time until a failed leader's sets are assigned to another entry. */
export const FAILOVER_DELAY_MS = 3_000;

const BROKEN_ANSWER: StreamEnd = {
  kind: 'cut',
  detail: 'connection reset',
  events: 0,
  progress: 'awaitingHead',
};

/** Creates Gentianshunt's policy: real entries, linked by messages in memory. */
export function createEntryCluster(options: SchedulerOptions): Scheduler {
  const {profile, timeline, recorder, fault} = options;
  const control = createFakeControl(profile);
  const arrivals = new Map<string, Arrival>();
  const processByRequest = new Map<string, EntryProcess>();
  const processes = new Map<string, EntryProcess>();
  let fleet: Fleet;
  const deliver = (
    process: EntryProcess | undefined,
    observation: EntryObservation,
  ): void => {
    timeline.schedule(profile.linkDelayMs, () => process?.post(observation));
  };

  const perform = (process: EntryProcess, effect: EntryEffect): void => {
    switch (effect.kind) {
      case 'openStream': {
        const arrival = arrivals.get(effect.request.id)!;
        recorder.recordDispatch(arrival);
        const engine = findEngine(fleet, effect.dispatch.target.endpoint);
        timeline.schedule(profile.linkDelayMs, () => engine.start(arrival));
        return;
      }
      case 'cancelStream': {
        const arrival = arrivals.get(toRequestId(effect.dispatch.id))!;
        const engine = findEngine(fleet, effect.dispatch.target.endpoint);
        timeline.schedule(profile.linkDelayMs, () => engine.cancel(arrival));
        return;
      }
      case 'refuseCaller': {
        const {request, reason} = effect.refusal;
        const kind = reason.kind === 'shed' ? 'shed' : 'cut';
        recorder.recordOutcome(arrivals.get(request)!, kind);
        return;
      }
      case 'sendEntry':
        deliver(processes.get(effect.to), {
          kind: 'entryMessage',
          from: process.id,
          message: effect.message,
        });
        return;
      case 'sendControl': {
        const message = control.answer(effect.message);
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
        process.setTimer(effect);
        return;
      default:
        ignoreEffect(effect);
    }
  };

  const listAlive = (): readonly EntryProcess[] =>
    [...processes.values()].filter(process => process.isAlive());

  // Each running engine announces itself to one of the running entries.
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

  const stopLeader = (): void => {
    const leader = processes.get(profile.entries[0]!)!;
    leader.stop();
    for (const [id, process] of processByRequest) {
      if (process === leader) {
        recorder.recordOutcome(arrivals.get(id)!, 'cut');
        fleet.engines.forEach(engine => engine.cancel(arrivals.get(id)!));
      }
    }
    timeline.schedule(FAILOVER_DELAY_MS, () =>
      control.moveLeadership(profile.entries[1]!),
    );
  };

  // Posts an event of a request's stream to the entry that dispatched it.
  const postStreamObservation = (
    arrival: Arrival,
    create: (dispatch: DispatchId) => EntryObservation,
  ): void => {
    const dispatch = `${arrival.id}.d` as DispatchId;
    deliver(processByRequest.get(arrival.id), create(dispatch));
  };

  return {
    begin: startedFleet => {
      fleet = startedFleet;
      profile.entries.forEach(id =>
        processes.set(id, createEntryProcess({id, timeline, perform})),
      );
      listAlive().forEach(process => process.post({kind: 'started'}));
      announce();
      if (fault === 'leaderLost') {
        timeline.schedule(FAULT_START_MS, stopLeader);
      }
    },
    receive: arrival => {
      const preferred = processes.get(arrival.entry)!;
      const process = preferred.isAlive() ? preferred : listAlive()[0]!;
      arrivals.set(arrival.id, arrival);
      processByRequest.set(arrival.id, process);
      process.post({kind: 'requestReceived', attributes: toRequest(arrival)});
    },
    disconnectCaller: arrival => {
      recorder.recordOutcome(arrival, 'abandoned');
      processByRequest.get(arrival.id)?.post({
        kind: 'callerGone',
        request: arrival.id as RequestId,
      });
    },
    startAnswer: arrival => {
      recorder.recordFirstToken(arrival);
      postStreamObservation(arrival, dispatch => ({
        kind: 'streamStarted',
        dispatch,
      }));
    },
    reportProgress: (arrival, answerTokens) =>
      postStreamObservation(arrival, dispatch => ({
        kind: 'tokensStreamed',
        dispatch,
        answerTokens,
      })),
    endAnswer: arrival => {
      recorder.recordOutcome(arrival, 'answered');
      postStreamObservation(arrival, dispatch => ({
        kind: 'streamEnded',
        dispatch,
        end: {kind: 'complete'},
        stored: null,
      }));
    },
    failAnswer: arrival => {
      recorder.recordOutcome(arrival, 'cut');
      postStreamObservation(arrival, dispatch => ({
        kind: 'streamEnded',
        dispatch,
        end: BROKEN_ANSWER,
        stored: null,
      }));
    },
  };
}

/** Ignores the effects that involve no engine, entry or timer of the bench. */
function ignoreEffect(
  effect: Exclude<
    EntryEffect,
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
  switch (effect.kind) {
    case 'resumeStream':
    case 'releaseAnswer':
    case 'redirectEntry':
    case 'logDecision':
    case 'relayCall':
    case 'cancelRelay':
    case 'probeEndpoint':
    case 'sendEndpointOrder':
    case 'settleLeave':
    case 'storeLeaves':
    case 'answerAddresses':
    case 'repeatAnswer':
    case 'answerOperator':
    case 'recordEnd':
    case 'exit':
      return;
    default:
      assertNever(effect, 'ignoreEffect');
  }
}
