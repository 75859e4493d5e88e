import type {QueueDemand} from '@gentianshunt/entryModel';
import type {
  EndpointId,
  NodeId,
  OrganisationId,
} from '@gentianshunt/identifiers';
import t from 'tap';

import {allocateSlots} from '../src/index.js';
import type {
  AllocationInput,
  EndpointCapacity,
  EntryQueue,
  FairShareState,
} from '../src/index.js';

function createEndpoint(
  changes: Partial<EndpointCapacity> = {},
): EndpointCapacity {
  return {
    target: {endpoint: 'e1' as EndpointId, url: 'http://127.0.0.1:1'},
    concurrency: 10,
    occupied: 0,
    rate: 30,
    canQueue: false,
    ...changes,
  };
}

function createQueue(changes: Partial<QueueDemand> = {}): EntryQueue {
  const queue: QueueDemand = {
    rank: 1,
    organisation: 'lab' as OrganisationId,
    count: 20,
    ready: 20,
    readyEarly: 20,
    costMs: 100,
    score: 1,
    expected: 0,
    oldestWaitMs: 10,
    objectiveMs: null,
    part: null,
    ...changes,
  };
  return {node: 'entry1' as NodeId, queue};
}

function createFairShare(organisation: string): FairShareState {
  return {
    organisation: organisation as OrganisationId,
    weight: 1,
    virtualTime: 0,
  };
}

function createInput(changes: Partial<AllocationInput> = {}): AllocationInput {
  return {
    endpoints: [createEndpoint()],
    queues: [createQueue()],
    fairShares: [createFairShare('lab')],
    ...changes,
  };
}

t.test('a higher tier gets all the capacity that it can use', async t => {
  const queues = [createQueue({rank: 2}), createQueue({rank: 1, count: 7})];
  const {slots} = allocateSlots(createInput({queues}));
  t.same(
    slots.map(({rank}) => rank),
    [1, 1, 1, 1, 1, 1, 1, 2, 2, 2],
  );
});

t.test('fair shares within a tier are measured in cost', async t => {
  const queues = [
    createQueue({costMs: 300}),
    createQueue({organisation: 'grid' as OrganisationId, costMs: 100}),
  ];
  const fairShares = [createFairShare('lab'), createFairShare('grid')];
  const endpoints = [createEndpoint({concurrency: 8})];
  const {slots} = allocateSlots(createInput({queues, fairShares, endpoints}));
  t.equal(slots.filter(slot => slot.organisation === 'lab').length, 2);
  t.equal(slots.filter(slot => slot.organisation === 'grid').length, 6);
});

t.test('deferred requests use endpoints up to the load limit only', async t => {
  const queues = [createQueue({ready: 0, readyEarly: 0})];
  t.equal(allocateSlots(createInput({queues})).slots.length, 5);
});

t.test('no endpoint gets more requests than its capacity', async t => {
  const endpoints = [createEndpoint({occupied: 9})];
  t.equal(allocateSlots(createInput({endpoints})).slots.length, 1);
});

// Guards against parts of prompts that each endpoint reads again.
t.test(
  'requests with a part of a prompt meet at the same endpoints',
  async t => {
    const allocate = (part: string | null, loads: readonly number[]) => {
      const endpoints = loads.map((occupied, index) =>
        createEndpoint({
          target: {
            endpoint: `e${index}` as EndpointId,
            url: `http://e${index}`,
          },
          occupied,
        }),
      );
      const queue = createQueue({
        count: 1,
        ready: 1,
        part: part as QueueDemand['part'],
      });
      const input = {endpoints, queues: [queue], fairShares: []};
      return allocateSlots(input).slots[0]!.target.endpoint;
    };
    const idle = Array.from({length: 20}, () => 0);
    const parts = Array.from({length: 30}, (_, index) => `part${index}`);
    const homes = parts.map(part => allocate(part, idle));
    t.ok(new Set(homes).size > 10, 'parts are spread');
    for (const [index, part] of parts.entries()) {
      const home = homes[index]!;
      const loads = idle.map((_, at) => (home === `e${at}` ? 10 : 0));
      t.not(allocate(part, loads), home, 'a full endpoint is not waited for');
      const other = idle.map((_, at) => (home === `e${at}` ? 3 : 1));
      t.equal(allocate(part, other), home, 'some load does not move a part');
    }
  },
);
