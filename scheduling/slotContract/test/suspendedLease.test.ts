import t from 'tap';

import type {EntryEffect} from '@gentianshunt/entryModel';
import {
  createArrival,
  createConfigurationObjects,
  createVirtualEntries,
} from '@gentianshunt/virtualEntry';
import type {VirtualEntries} from '@gentianshunt/virtualEntry';

const ENTRY = 'entry-0';
const NODES = [ENTRY, 'entry-1'];
const SUSPENDED_MS = 10_000;
const RENEWAL_MS = 1_000;

/** Entries with a lease, and the reasons for which they refused requests. */
interface RefusingEntries extends VirtualEntries {
  readonly refusals: string[];
}

function createRefusingEntries(): RefusingEntries {
  const refusals: string[] = [];
  const entries = createVirtualEntries({
    nodes: NODES,
    objects: createConfigurationObjects({organisations: 1, leader: ENTRY}),
    onEffect: (_node, effect: EntryEffect) => {
      if (effect.kind === 'refuseCaller') {
        refusals.push(effect.refusal.reason.kind);
      }
    },
  });
  entries.time.advance(RENEWAL_MS);
  return {...entries, refusals};
}

t.test('a suspended entry does not use its lease', async t => {
  const {find, time, refusals} = createRefusingEntries();
  const entry = find(ENTRY);
  entry.suspend();
  time.advance(SUSPENDED_MS);
  entry.resume();
  entry.post(createArrival({index: 1}));
  t.same(refusals, ['noLease']);
  time.advance(RENEWAL_MS);
  entry.post(createArrival({index: 2}));
  t.same(refusals, ['noLease'], 'served once the lease is renewed');
});

t.test('a reply from before a suspension renews no lease', async t => {
  const {find, time, refusals} = createRefusingEntries();
  const entry = find(ENTRY);
  entry.setControlPartitioned(true);
  time.advance(SUSPENDED_MS);
  entry.setControlPartitioned(false);
  entry.post({kind: 'timerDue', timer: {kind: 'heartbeat'}});
  entry.suspend();
  time.advance(SUSPENDED_MS);
  entry.resume();
  entry.post(createArrival({index: 1}));
  t.same(refusals, ['noLease']);
});
