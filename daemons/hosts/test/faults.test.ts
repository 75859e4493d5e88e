import {createSystemClock} from '@gentianshunt/runtime';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import type {EntryObservation} from '@gentianshunt/entryModel';
import type {EntryNode} from '@gentianshunt/entryNode';
import t from 'tap';

import {createEntryHost} from '../src/index.js';
import type {EffectFailedError, EntryAdapters} from '../src/index.js';

const SELF = toIdentifier<NodeId>('entry-0');
const OTHER = toIdentifier<NodeId>('control-0');

interface EntryFixture {
  readonly node: EntryNode;
  readonly faults: readonly Error[];
  readonly failedEffects: readonly EffectFailedError[];
  readonly sent: readonly string[];
}

/** Creates an entry; sending to control nodes may fail. */
function createEntryFixture(canSend = true): EntryFixture {
  const faults: Error[] = [];
  const failedEffects: EffectFailedError[] = [];
  const sent: string[] = [];
  const adapters: EntryAdapters = {
    performCallerEffect: () => undefined,
    answerOperator: () => undefined,
    sendToEntry: () => undefined,
    sendToControl: (_to, message) => {
      if (!canSend) {
        throw new Error('cannot be sent');
      }
      sent.push(message.kind);
    },
    redirectEntry: () => undefined,
    sendEndpointOrder: () => undefined,
    setTimer: timer => {
      sent.push(`${timer.kind}Timer`);
    },
    logDecision: () => undefined,
    recordEnd: () => undefined,
    exit: () => sent.push('exit'),
  };
  const node = createEntryHost({
    identity: {
      address: {
        node: SELF,
        region: toIdentifier('local'),
        domain: toIdentifier('a'),
        peer: {host: '127.0.0.1', port: 1},
        http: {host: '127.0.0.1', port: 2},
      },
      incarnation: toIdentifier('i-1'),
      controlNodes: [OTHER],
    },
    clock: createSystemClock(),
    readAdapters: () => adapters,
    onFault: error => faults.push(error),
    onEffectFailed: error => failedEffects.push(error),
  });
  return {node, faults, failedEffects, sent};
}

/** A control message whose fields no controller can read. */
function createUnreadableMessage(from: NodeId): EntryObservation {
  const message = {kind: 'membersUpdate'};
  return {kind: 'controlMessage', from, message} as unknown as EntryObservation;
}

// Guards against an adapter that fails and takes the rest of its turn along.
t.test('an effect that fails costs no other effect', async t => {
  const {node, faults, failedEffects, sent} = createEntryFixture(false);
  node.post({kind: 'started'});
  t.match(failedEffects[0], {
    code: 'ERR_EFFECT_FAILED',
    origin: {step: 'sendControl', peer: OTHER},
  });
  t.ok(sent.length > 0, 'timers are set');
  t.same(faults, []);
});

// Guards against a message from one node that ends another.
t.test('an unreadable message costs the link, not the entry', async t => {
  const {node, faults} = createEntryFixture();
  node.post({kind: 'started'});
  t.throws(() => node.post(createUnreadableMessage(OTHER)), {
    code: 'ERR_CONTROLLER_FAILED',
  });
  t.same(faults, []);
  node.post({kind: 'shutdownRequested'});
  t.equal(node.view.service.kind, 'draining', 'the entry goes on');
});

t.test('a controller that fails by itself is a fault', async t => {
  const {node, faults} = createEntryFixture();
  node.post({kind: 'started'});
  node.post(createUnreadableMessage(SELF));
  t.match(faults, [{code: 'ERR_CONTROLLER_FAILED'}]);
  t.not((faults[0] as EffectFailedError).origin.step, '');
});
