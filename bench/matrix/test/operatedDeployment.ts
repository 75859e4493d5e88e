import type {Milliseconds} from '@gentianshunt/clock';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId, RequestId} from '@gentianshunt/identifiers';

import {createControlHost} from '../src/controlHost.js';
import type {ControlHost} from '../src/controlHost.js';
import {createEntryHost} from '../src/entryHost.js';
import type {EntryHost} from '../src/entryHost.js';
import {createFakeProcess} from '../src/fakeProcess.js';
import {CONTROL_IDS} from '../src/identities.js';
import {createNetwork} from '../src/network.js';
import type {Network} from '../src/network.js';
import {createScheduler} from '../src/scheduler.js';
import type {Scheduler} from '../src/scheduler.js';

/** Long enough for an election, the lease recovery period and all sessions. */
const SETTLING_MS: Milliseconds = 6_000;

/** Control daemons and entries in virtual time, with one operator. */
export interface OperatedDeployment {
  readonly scheduler: Scheduler;
  readonly network: Network;
  readonly entries: readonly EntryHost[];
  /** Sends a change to an entry, which may answer until the operator leaves. */
  change(entry: EntryHost, release: number): void;
  /** Returns how long a change took at the entry that got it first, if it did. */
  readAcknowledgedMs(release: number): Milliseconds | undefined;
}

/** Starts a deployment and lets it settle. */
export function createOperatedDeployment(
  entryCount: number,
): OperatedDeployment {
  const scheduler = createScheduler();
  const network = createNetwork(scheduler);
  const controls = new Map<string, ControlHost>();
  const entries = new Map<string, EntryHost>();
  const sentAt = new Map<RequestId, Milliseconds>();
  const acknowledged = new Map<RequestId, Milliseconds>();
  const {clock} = scheduler;
  const ignore = (): void => undefined;
  for (const id of CONTROL_IDS) {
    const process = createFakeProcess(id, scheduler);
    const node = toIdentifier<NodeId>(id);
    const host = createControlHost({
      process,
      clock,
      onStep: ignore,
      peers: {
        sendToControl: (to, message, storage) =>
          sendTo(network, process, controls.get(to)!, {
            kind: 'consensusMessage',
            from: node,
            storage: storage.from,
            message,
          }),
        sendToEntry: (to, message) =>
          sendTo(network, process, entries.get(to)!, {
            kind: 'controlMessage',
            from: node,
            message,
          }),
      },
    });
    controls.set(id, host);
  }
  for (let index = 0; index < entryCount; index += 1) {
    const process = createFakeProcess(`entry-${index}`, scheduler);
    const from = toIdentifier<NodeId>(process.id);
    const host = createEntryHost({
      process,
      clock,
      network,
      record: ignore,
      onStep: ignore,
      peers: {
        sendToEntry: (to, message) =>
          sendTo(network, process, entries.get(to)!, {
            kind: 'entryMessage',
            from,
            message,
          }),
        sendToControl: (to, message) =>
          sendTo(network, process, controls.get(to)!, {
            kind: 'entryMessage',
            from,
            message,
          }),
        findEndpoint: () => {
          throw new Error('there are no endpoints');
        },
        answerOperator: ({correlation, progress}) => {
          if (progress.kind === 'replaced') {
            const since = sentAt.get(correlation)!;
            acknowledged.set(correlation, clock.readMonotonic() - since);
          }
        },
      },
    });
    entries.set(process.id, host);
  }
  controls.forEach(host => host.start());
  entries.forEach(host => host.start());
  scheduler.runUntil(SETTLING_MS);
  return {
    scheduler,
    network,
    entries: [...entries.values()],
    change: (entry, release) => {
      const correlation = toIdentifier<RequestId>(`change-${release}`);
      sentAt.set(correlation, clock.readMonotonic());
      entry.post({
        kind: 'replacementReceived',
        correlation,
        replacement: {version: release, objects: [], source: new Uint8Array(8)},
      });
    },
    readAcknowledgedMs: release =>
      acknowledged.get(toIdentifier(`change-${release}`)),
  };
}

/** A host of either kind that receives observations. */
interface Receiver<Observation> {
  readonly process: ControlHost['process'];
  post(observation: Observation): void;
}

function sendTo<Observation>(
  network: Network,
  from: ControlHost['process'],
  to: Receiver<Observation>,
  observation: Observation,
): void {
  const deliver = (): void => to.post(observation);
  network.send({kind: 'message', from, to: to.process, deliver});
}
