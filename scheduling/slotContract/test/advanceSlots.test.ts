import {ANY_ORGANISATION} from '@gentianshunt/entryModel';
import type {EntryEffect, GrantReply} from '@gentianshunt/entryModel';
import {
  createArrival,
  createConfigurationObjects,
  createContact,
  createVirtualEntries,
} from '@gentianshunt/virtualEntry';
import t from 'tap';

const START_UP_MS = 2_500;
const STEADY_MS = 5_000;
const ARRIVAL_MS = 10;

interface SteadyRun {
  readonly replies: GrantReply[];
  readonly waitsMs: number[];
}

/**
 * Adds arrivals at a constant rate to an entry that does not lead the set. The
 * requests never end.
 */
function runSteady(concurrency: number): SteadyRun {
  const replies: GrantReply[] = [];
  const waitsMs: number[] = [];
  const entries = createVirtualEntries({
    nodes: ['entry-0', 'entry-1'],
    objects: createConfigurationObjects({organisations: 3, leader: 'entry-0'}),
    deliver: ({message}) => {
      if (message.kind === 'grantReply') {
        replies.push(message.reply);
      }
      return [1];
    },
    onEffect: (_node, effect: EntryEffect) => {
      if (effect.kind === 'openStream') {
        const now = entries.time.clock.readMonotonic();
        waitsMs.push(now - effect.request.arrivedAt);
      }
    },
  });
  entries.time.advance(START_UP_MS);
  for (let index = 0; index < STEADY_MS / ARRIVAL_MS; index += 1) {
    if ((index * ARRIVAL_MS) % 500 === 0) {
      entries.find('entry-0').post(createContact({concurrency}));
    }
    const arrival = createArrival({index, organisation: index % 3});
    entries.find('entry-1').post(arrival);
    entries.time.advance(ARRIVAL_MS);
  }
  return {replies, waitsMs};
}

t.test('steady arrivals are dispatched without a report each', async t => {
  const {replies, waitsMs} = runSteady(5_000);
  const arrivals = STEADY_MS / ARRIVAL_MS;
  t.equal(waitsMs.length, arrivals);
  t.ok(replies.length < arrivals / 10, `${replies.length} replies`);
  const waited = waitsMs.filter(waitMs => waitMs > 0).length;
  t.ok(waited < arrivals / 10, `${waited} requests waited`);
});

t.test('no advance slot is granted while requests wait', async t => {
  const concurrency = 40;
  const {replies, waitsMs} = runSteady(concurrency);
  t.equal(waitsMs.length, concurrency, 'all capacity is used');
  const afterFull = replies.slice(-5).flatMap(reply => reply.grants);
  t.same(
    afterFull.filter(grant => grant.organisation === ANY_ORGANISATION),
    [],
  );
});
