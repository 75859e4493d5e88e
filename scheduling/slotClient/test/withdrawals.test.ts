import {createControlLoop} from '@gentianshunt/board';
import {createManualClock} from '@gentianshunt/clock';
import {createEntrySections} from '@gentianshunt/entryModel';
import type {
  EntryEffect,
  EntryObservation,
  EntrySections,
} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {EndpointId, NodeId} from '@gentianshunt/identifiers';
import t from 'tap';

import {
  createWithdrawalController,
  MAX_WITHDRAWALS,
  WITHDRAWAL_MS,
} from '../src/index.js';

const EXCESS = 100;
const TICK_MS = 1;

function createEntry() {
  const clock = createManualClock();
  const address = {host: '127.0.0.1', port: 1};
  const loop = createControlLoop<EntrySections, EntryObservation, EntryEffect>({
    sections: createEntrySections({
      address: {
        node: toIdentifier('n1'),
        domain: toIdentifier('a'),
        region: toIdentifier('local'),
        peer: address,
        http: address,
      },
      incarnation: toIdentifier('i1'),
      controlNodes: [],
    }),
    controllers: [createWithdrawalController()],
    clock,
    perform: () => undefined,
  });
  const learnLeave = (endpoint: string): void =>
    loop.post({
      kind: 'entryMessage',
      from: toIdentifier<NodeId>('n2'),
      message: {
        kind: 'endpointLeft',
        endpoint: toIdentifier<EndpointId>(endpoint),
        left: {kind: 'numbered', startedAtMs: 1},
        isConfirmationRequested: false,
      },
    });
  const advance = (durationMs: number): void => {
    clock.advance(durationMs);
    loop.post({kind: 'timerDue', timer: {kind: 'housekeeping'}});
  };
  return {loop, clock, learnLeave, advance};
}

// Guards against an entry that remembers leaves without a bound.
t.test('the oldest leaves give way to later ones', async t => {
  const {loop, clock, learnLeave, advance} = createEntry();
  for (let count = 0; count < MAX_WITHDRAWALS + EXCESS; count += 1) {
    clock.advance(TICK_MS);
    learnLeave(`e${count}`);
  }
  advance(TICK_MS);
  const {withdrawnEndpoints} = loop.view;
  t.equal(withdrawnEndpoints.size, MAX_WITHDRAWALS);
  t.notOk(withdrawnEndpoints.has(toIdentifier(`e${EXCESS - 1}`)));
  t.ok(withdrawnEndpoints.has(toIdentifier(`e${EXCESS}`)));
});

t.test('a leave is forgotten after a time', async t => {
  const {loop, learnLeave, advance} = createEntry();
  learnLeave('e1');
  advance(WITHDRAWAL_MS - TICK_MS);
  t.equal(loop.view.withdrawnEndpoints.size, 1);
  advance(TICK_MS);
  t.equal(loop.view.withdrawnEndpoints.size, 0);
});
