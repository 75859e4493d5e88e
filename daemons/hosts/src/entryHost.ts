import type {Clock, Milliseconds} from '@gentianshunt/clock';
import {createEntryNode} from '@gentianshunt/entryNode';
import type {EntryNode} from '@gentianshunt/entryNode';
import type {
  CallerEffect,
  EntryDecision,
  EntryEffect,
  EntryIdentity,
  EntryMessage,
  EntryObservation,
  EntryTimer,
  ReportedLeave,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {EndpointId, NodeId, RequestId} from '@gentianshunt/identifiers';
import type {
  ControlToEntry,
  EntryToControl,
  NetworkAddress,
} from '@gentianshunt/messages';

import {EffectFailedError} from './effectFailedError.js';

/** Functions that execute the effects of an entry. */
export interface EntryAdapters {
  /** Executes an effect on a caller's request or stream. */
  performCallerEffect(effect: CallerEffect): void;
  answerOperator(
    correlation: RequestId,
    progress: Extract<EntryEffect, {kind: 'answerOperator'}>['progress'],
  ): void;
  sendToEntry(to: NodeId, address: NetworkAddress, message: EntryMessage): void;
  sendToControl(to: NodeId, message: EntryToControl): void;
  /**
   * Sends the known control leader and members to an entry that looks for a
   * control daemon here.
   */
  redirectEntry(to: NodeId, message: ControlToEntry): void;
  sendEndpointOrder(
    execution: Extract<EntryEffect, {kind: 'sendEndpointOrder'}>['execution'],
  ): void;
  /**
   * Answers an endpoint that waits for the confirmation of its leave, if the
   * daemon lets endpoints wait.
   */
  settleLeave?(endpoint: EndpointId, isConfirmed: boolean): void;
  /** Replaces the leaves on the disk of the VM, if it has one. */
  storeLeaves?(leaves: readonly ReportedLeave[]): void;
  setTimer(timer: EntryTimer, delayMs: Milliseconds): void;
  /** Writes a decision to the daemon's log output. */
  logDecision(decision: EntryDecision): void;
  recordEnd(effect: Extract<EntryEffect, {kind: 'recordEnd'}>): void;
  /** Ends the daemon once all responses to callers are sent. */
  exit(): void;
}

/** Options for running an entry. */
export interface EntryHostOptions {
  readonly identity: EntryIdentity;
  readonly clock: Clock;
  /**
   * Returns the adapters, which are created after the node. They must exist
   * when the first observation is posted.
   */
  readonly readAdapters: () => EntryAdapters;
  /** Called with each observation before the entry handles it. */
  readonly onObservation?: (observation: EntryObservation) => void;
  /**
   * Called when a controller failed. The board may be inconsistent, so the
   * process must drain and end.
   */
  readonly onFault: (error: Error) => void;
  /** Called when an effect could not be executed; the others go on. */
  readonly onEffectFailed: (error: EffectFailedError) => void;
}

/**
 * Creates an entry whose effects are executed by adapters. `post` throws only
 * for a message from another node that a controller cannot handle, so that the
 * link to that node is closed.
 */
export function createEntryHost(options: EntryHostOptions): EntryNode {
  const {identity, clock, readAdapters, onObservation} = options;
  const post = (observation: EntryObservation): void => {
    onObservation?.(observation);
    try {
      node.post(observation);
    } catch (error) {
      if (isFromOtherNode(observation, identity.address.node)) {
        throw error;
      }
      options.onFault(error as Error);
    }
  };
  const node: EntryNode = createEntryNode({
    identity,
    clock,
    perform: effect => {
      try {
        performEffect(identity, readAdapters(), effect, post);
      } catch (error) {
        const peer = findEffectPeer(effect);
        options.onEffectFailed(new EffectFailedError(effect.kind, peer, error));
        endUnopenedStream(effect, post);
      }
    },
  });
  return {view: node.view, post};
}

function isFromOtherNode(observation: EntryObservation, self: NodeId): boolean {
  switch (observation.kind) {
    case 'entryMessage':
    case 'controlMessage':
      return observation.from !== self;
    default:
      return false;
  }
}

function findEffectPeer(effect: EntryEffect): string {
  switch (effect.kind) {
    case 'sendEntry':
    case 'sendControl':
    case 'redirectEntry':
      return effect.to;
    case 'openStream':
    case 'resumeStream':
      return effect.dispatch.target.url;
    default:
      return 'self';
  }
}

/** Ends a stream that could not be opened; its call may have been sent. */
function endUnopenedStream(
  effect: EntryEffect,
  post: (observation: EntryObservation) => void,
): void {
  if (effect.kind === 'openStream') {
    post({
      kind: 'streamEnded',
      dispatch: effect.dispatch.id,
      end: {
        kind: 'cut',
        detail: 'the stream could not be opened',
        events: 0,
        progress: 'awaitingHead',
      },
      stored: null,
    });
  }
}

function performEffect(
  identity: EntryIdentity,
  adapters: EntryAdapters,
  effect: EntryEffect,
  post: (observation: EntryObservation) => void,
): void {
  switch (effect.kind) {
    case 'refuseCaller':
      adapters.performCallerEffect(effect);
      post({kind: 'callerRefused', refusal: effect.refusal});
      return;
    case 'openStream':
    case 'resumeStream':
    case 'cancelStream':
    case 'relayCall':
    case 'cancelRelay':
    case 'probeEndpoint':
    case 'releaseAnswer':
    case 'repeatAnswer':
    case 'answerAddresses':
      adapters.performCallerEffect(effect);
      return;
    case 'sendEntry': {
      const {to, address, message} = effect;
      // A message to this entry itself is delivered without the network.
      if (to === identity.address.node) {
        post({kind: 'entryMessage', from: to, message});
      } else {
        adapters.sendToEntry(to, address, message);
      }
      return;
    }
    case 'sendControl':
      adapters.sendToControl(effect.to, effect.message);
      return;
    case 'redirectEntry': {
      const {to, leader, members} = effect;
      adapters.redirectEntry(to, {kind: 'notLeader', sequence: null, leader});
      adapters.redirectEntry(to, {kind: 'membersUpdate', members});
      return;
    }
    case 'setTimer':
      adapters.setTimer(effect.timer, effect.delayMs);
      return;
    case 'answerOperator':
      adapters.answerOperator(effect.correlation, effect.progress);
      return;
    case 'recordEnd':
      adapters.recordEnd(effect);
      post({
        kind: 'requestEnded',
        request: effect.request,
        end: effect.end,
        firstTokenMs: effect.firstTokenMs,
      });
      return;
    case 'sendEndpointOrder':
      adapters.sendEndpointOrder(effect.execution);
      return;
    case 'settleLeave':
      adapters.settleLeave?.(effect.endpoint, effect.isConfirmed);
      return;
    case 'storeLeaves':
      adapters.storeLeaves?.(effect.leaves);
      return;
    case 'logDecision':
      adapters.logDecision(effect.decision);
      return;
    case 'exit':
      adapters.exit();
      return;
    default:
      assertNever(effect, 'performEffect');
  }
}
