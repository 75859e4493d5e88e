import {createEntryNode} from '@gentianshunt/entryNode';
import type {EntryNode} from '@gentianshunt/entryNode';
import type {
  EndpointAnnouncement,
  EntryObservation,
  EntryOrder,
  RequestFacts,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {
  DispatchId,
  EndpointId,
  EndpointSetId,
  FailureDomainId,
  IncarnationId,
  OrganisationId,
  RequestId,
  RequestKindId,
  TierId,
} from '@gentianshunt/identifiers';

import type {Arrival} from './arrivals.js';
import type {Engine} from './engine.js';
import {
  CONTROL_NODE,
  createEntryAddress,
  createFakeControl,
} from './fakeControl.js';
import {FAULT_AT_MS} from './fault.js';
import type {Fleet} from './fleet.js';
import {TIER_IDS} from './profile.js';
import type {Scheduler, SchedulerOptions} from './scheduler.js';

/** Time between two announcements of an endpoint. */
export const ANNOUNCE_INTERVAL_MS = 500;
/** Time after which the control daemons give a lost leader's sets away. */
export const FAILOVER_MS = 3_000;

interface EntryProcess {
  readonly id: string;
  readonly node: EntryNode;
  readonly timers: Map<string, number>;
  alive: boolean;
}

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
    timeline.schedule(profile.linkMs, () => {
      if (process?.alive === true) {
        process.node.post(observation);
      }
    });
  };

  const setTimer = (
    process: EntryProcess,
    order: Extract<EntryOrder, {readonly kind: 'setTimer'}>,
  ): void => {
    const {timer, delayMs} = order;
    const generation = (process.timers.get(timer.kind) ?? 0) + 1;
    process.timers.set(timer.kind, generation);
    timeline.schedule(delayMs, () => {
      if (process.alive && process.timers.get(timer.kind) === generation) {
        process.node.post({kind: 'timerDue', timer});
      }
    });
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
          from: process.node.view.identity.address.node,
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
        setTimer(process, order);
        return;
      case 'repeatAnswer':
      case 'answerOperator':
      case 'recordEnd':
      case 'exit':
        return;
      default:
        assertNever(order, 'perform');
    }
  };

  const startProcess = (id: string): EntryProcess => {
    const process: EntryProcess = {
      id,
      node: createEntryNode({
        identity: {
          address: createEntryAddress(id),
          incarnation: '1' as IncarnationId,
          controls: [CONTROL_NODE],
        },
        clock: timeline.clock,
        perform: order => perform(process, order),
      }),
      timers: new Map(),
      alive: true,
    };
    return process;
  };

  const listAlive = (): readonly EntryProcess[] =>
    [...processes.values()].filter(process => process.alive);

  const announce = (): void => {
    const alive = listAlive();
    fleet.engines
      .filter(engine => !engine.isStopped())
      .forEach((engine, index) =>
        deliver(alive[index % alive.length], {
          kind: 'endpointContact',
          announcement: createAnnouncement(engine, fleet),
        }),
      );
    timeline.schedule(ANNOUNCE_INTERVAL_MS, announce);
  };

  const loseLeader = (): void => {
    const lost = processes.get(profile.entries[0]!)!;
    lost.alive = false;
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
      profile.entries.forEach(id => processes.set(id, startProcess(id)));
      listAlive().forEach(({node}) => node.post({kind: 'started'}));
      announce();
      if (fault === 'leaderLost') {
        timeline.schedule(FAULT_AT_MS, loseLeader);
      }
    },
    receive: arrival => {
      const wanted = processes.get(arrival.entry)!;
      const process = wanted.alive ? wanted : listAlive()[0]!;
      arrivals.set(arrival.id, arrival);
      placed.set(arrival.id, process);
      process.node.post({kind: 'requestReceived', facts: toFacts(arrival)});
    },
    loseCaller: arrival => {
      recorder.noteOutcome(arrival, 'abandoned');
      const request = arrival.id as RequestId;
      const process = placed.get(arrival.id);
      if (process?.alive === true) {
        process.node.post({kind: 'callerGone', request});
      }
    },
    startAnswer: arrival => {
      recorder.noteFirstToken(arrival);
      tellStream(arrival, dispatch => ({kind: 'streamStarted', dispatch}));
    },
    reportProgress: () => undefined,
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
        end: {kind: 'cut', detail: 'connection reset'},
        stored: null,
      }));
    },
  };
}

function toRequestId(dispatch: DispatchId): string {
  return dispatch.slice(0, dispatch.lastIndexOf('.'));
}

function findEngine(fleet: Fleet, endpoint: EndpointId): Engine {
  return fleet.engines.find(engine => engine.spec.id === endpoint)!;
}

function createAnnouncement(
  engine: Engine,
  fleet: Fleet,
): EndpointAnnouncement {
  const {id, set, batch} = engine.spec;
  const {running, waiting, ageMs} = fleet.readStaleLoad(engine);
  return {
    endpoint: id as EndpointId,
    incarnation: '1' as IncarnationId,
    set: set as EndpointSetId,
    domain: 'domain1' as FailureDomainId,
    url: `http://${id}`,
    concurrency: batch,
    checksFencing: false,
    load: {running, waiting, ageMs},
    leaving: false,
  };
}

function toFacts(arrival: Arrival): RequestFacts {
  return {
    id: arrival.id as RequestId,
    organisation: arrival.organisation as OrganisationId,
    tier: TIER_IDS[arrival.rank - 1]! as string as TierId,
    set: arrival.kind.set as EndpointSetId,
    kind: arrival.kind.id as RequestKindId,
    claim: null,
    promptTokens: arrival.promptTokens,
    maxTokens: arrival.kind.answer.greatest,
    prefix: arrival.prefix,
  };
}
