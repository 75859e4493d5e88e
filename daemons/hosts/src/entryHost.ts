import type {Clock, Milliseconds} from '@gentianshunt/clock';
import {createEntryNode} from '@gentianshunt/entryNode';
import type {EntryNode} from '@gentianshunt/entryNode';
import type {
  CallerOrder,
  EntryDecision,
  EntryIdentity,
  EntryMessage,
  EntryObservation,
  EntryOrder,
  EntryTimer,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {NodeId, RequestId} from '@gentianshunt/identifiers';
import type {
  ControlToEntry,
  EntryToControl,
  NetworkAddress,
} from '@gentianshunt/messages';

/** The adapters of an entry. */
export interface EntryAdapters {
  /** Carries out what concerns callers and their answers. */
  performFront(order: CallerOrder): void;
  answerOperator(
    correlation: RequestId,
    progress: Extract<EntryOrder, {kind: 'answerOperator'}>['progress'],
  ): void;
  sendEntry(to: NodeId, address: NetworkAddress, message: EntryMessage): void;
  sendControl(to: NodeId, message: EntryToControl): void;
  /** Answers, in place of a control daemon, an entry that looks for one. */
  redirectEntry(to: NodeId, message: ControlToEntry): void;
  sendEndpointOrder(
    run: Extract<EntryOrder, {kind: 'sendEndpointOrder'}>['run'],
  ): void;
  setTimer(timer: EntryTimer, delayMs: Milliseconds): void;
  /** Writes a decision to the log. */
  tell(decision: EntryDecision): void;
  recordEnd(order: Extract<EntryOrder, {kind: 'recordEnd'}>): void;
  /** Ends the daemon once nothing is on its way to a caller. */
  exit(): void;
}

/** What hosts an entry. */
export interface EntryHostOptions {
  readonly identity: EntryIdentity;
  readonly clock: Clock;
  /** Reads the adapters; they are there before the first observation. */
  readonly readAdapters: () => EntryAdapters;
}

/** Creates an entry whose orders go to adapters. */
export function createEntryHost(options: EntryHostOptions): EntryNode {
  const {identity, clock, readAdapters} = options;
  const post = (observation: EntryObservation): void => node.post(observation);
  const node: EntryNode = createEntryNode({
    identity,
    clock,
    perform: order => perform(identity, readAdapters(), order, post),
  });
  return node;
}

function perform(
  identity: EntryIdentity,
  adapters: EntryAdapters,
  order: EntryOrder,
  post: (observation: EntryObservation) => void,
): void {
  switch (order.kind) {
    case 'refuseCaller':
      adapters.performFront(order);
      post({kind: 'callerRefused', refusal: order.refusal});
      return;
    case 'openStream':
    case 'resumeStream':
    case 'cancelStream':
    case 'repeatAnswer':
    case 'answerAddresses':
      adapters.performFront(order);
      return;
    case 'sendEntry': {
      const {to, address, message} = order;
      // A message to this entry itself does not pass over the network.
      if (to === identity.address.node) {
        post({kind: 'entryMessage', from: to, message});
      } else {
        adapters.sendEntry(to, address, message);
      }
      return;
    }
    case 'sendControl':
      adapters.sendControl(order.to, order.message);
      return;
    case 'redirectEntry': {
      const {to, leader, members} = order;
      adapters.redirectEntry(to, {kind: 'notLeader', sequence: null, leader});
      adapters.redirectEntry(to, {kind: 'membersUpdate', members});
      return;
    }
    case 'setTimer':
      adapters.setTimer(order.timer, order.delayMs);
      return;
    case 'answerOperator':
      adapters.answerOperator(order.correlation, order.progress);
      return;
    case 'recordEnd':
      adapters.recordEnd(order);
      post({
        kind: 'requestEnded',
        request: order.request,
        end: order.end,
        firstTokenMs: order.firstTokenMs,
      });
      return;
    case 'sendEndpointOrder':
      adapters.sendEndpointOrder(order.run);
      return;
    case 'tell':
      adapters.tell(order.decision);
      return;
    case 'exit':
      adapters.exit();
      return;
    default:
      assertNever(order, 'perform');
  }
}
